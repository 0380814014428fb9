package io.snipeloom.edge;

import io.snipeloom.forwarding.Fleet;
import io.snipeloom.platform.ConfigurationDecoder;
import io.snipeloom.platform.PlatformTopics;
import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.state.Moment;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.store.KeyedRecord;
import io.snipeloom.store.StoreOutcome;
import io.snipeloom.store.TopicWatch;
import io.snipeloom.telemetry.EventLog;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Applies the configuration documents and the evacuations that operators publish in the store. A
 * document that cannot be decoded is logged and ignored. Confined to the event loop thread.
 */
final class ConfigurationFeed implements TopicWatch.Listener {
  /** The most problems that are remembered as logged. */
  private static final int MAX_LOGGED_PROBLEMS = 100;

  private final Fleet fleet;
  private final EventLog log;
  private final Consumer<StoreOutcome> onOutcome;
  private final IntConsumer onOverdue;
  private final EvacuationFeed evacuations;
  private final Set<String> loggedProblems = new HashSet<>();

  ConfigurationFeed(
      Fleet fleet, EventLog log, Consumer<StoreOutcome> onOutcome, IntConsumer onOverdue) {
    this.fleet = fleet;
    this.log = log;
    this.onOutcome = onOutcome;
    this.onOverdue = onOverdue;
    this.evacuations = new EvacuationFeed(fleet, log);
  }

  @Override
  public void onListed(List<KeyedRecord> records) {
    evacuations.onListed(records);
    records.forEach(this::apply);
  }

  @Override
  public void onAppended(KeyedRecord record, Optional<Moment> after) {
    evacuations.onAppended(record);
    apply(record);
  }

  @Override
  public void onOutcome(StoreOutcome outcome, Moment availableAt) {
    if (outcome == StoreOutcome.REVERTED) {
      fleet.placement().evacuations().onStoreReverted();
    }
    onOutcome.accept(outcome);
  }

  @Override
  public void onOverdue(int tries) {
    onOverdue.accept(tries);
  }

  @Override
  public void onFailure(String topic, Throwable failure) {
    log.log("record_failed", "topic", topic, "reason", failure);
  }

  /** Ends the evacuations that listings have lacked for long enough. */
  void tick(long nowNanos) {
    evacuations.tick(nowNanos);
  }

  private void logOnce(String problem) {
    if (loggedProblems.size() < MAX_LOGGED_PROBLEMS && loggedProblems.add(problem)) {
      log.log("configuration_problem", "reason", problem, "taken_for", "the strictest");
    }
  }

  private void apply(KeyedRecord record) {
    if (!record.key().equals(PlatformTopics.CONFIGURATION_KEY) || record.isRemoval()) {
      return;
    }
    try {
      FleetConfiguration configuration = ConfigurationDecoder.decode(record.value());
      boolean applied = fleet.apply(configuration);
      log.log(
          "configuration",
          "version",
          configuration.version(),
          "applied",
          applied,
          "bytes",
          record.value().length);
      configuration.problems().forEach(this::logOnce);
    } catch (SnipeloomException e) {
      log.log("configuration_refused", "reason", e.getMessage());
    }
  }
}
