package io.snipeloom.coordination;

import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.SnipeloomException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Publishes configuration changes through the decision stream.
 *
 * <p>Thread-safe. Add it as a listener to the replica before the replica is started.
 */
public final class LogConfigurationAuthority implements ConfigurationAuthority, DecisionListener {
  private final LogReplica replica;
  private final RecordSink records;
  private final Map<ConfigurationChange, CompletableFuture<PublishResult>> pendingChanges =
      new ConcurrentHashMap<>();

  /**
   * Creates an authority.
   *
   * @param replica the replica of the decision state
   * @param records appends the changes to the decision stream
   */
  public LogConfigurationAuthority(LogReplica replica, RecordSink records) {
    this.replica = replica;
    this.records = records;
  }

  @Override
  public ConfigurationDocument current() {
    return replica.read(state -> state.configuration());
  }

  @Override
  public CompletionStage<PublishResult> publish(ConfigurationChange change) {
    CompletableFuture<PublishResult> result = new CompletableFuture<>();
    if (pendingChanges.putIfAbsent(change, result) != null) {
      return CompletableFuture.failedStage(
          SnipeloomException.of(
              ErrorCode.CONFIGURATION_CONFLICT, "an identical change is already being published"));
    }
    records
        .appendNow(List.of(new DecisionRecord.ConfigurationChanged(change)))
        .whenComplete(
            (offset, error) -> {
              if (error != null) {
                pendingChanges.remove(change);
                result.completeExceptionally(error);
              }
            });
    return result;
  }

  @Override
  public void onEvent(DecisionEvent event) {
    if (event instanceof DecisionEvent.ConfigurationAccepted accepted) {
      complete(accepted.change(), new PublishResult.Accepted(accepted.offset()));
    } else if (event instanceof DecisionEvent.ConfigurationRefused refused) {
      complete(
          refused.change(),
          new PublishResult.Refused(refused.code(), refused.message(), refused.violations()));
    }
  }

  private void complete(ConfigurationChange change, PublishResult result) {
    CompletableFuture<PublishResult> future = pendingChanges.remove(change);
    if (future != null) {
      future.complete(result);
    }
  }
}
