package io.snipeloom.coordination;

import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.SnipeloomException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * A configuration authority in memory that applies each change immediately, in the order of the
 * calls. Each call takes one offset, even if the change is refused.
 */
public final class InMemoryConfigurationAuthority implements ConfigurationAuthority {
  private ConfigurationDocument document = ConfigurationDocument.empty();
  private long nextOffset;

  @Override
  public synchronized ConfigurationDocument current() {
    return document;
  }

  @Override
  public synchronized CompletionStage<PublishResult> publish(ConfigurationChange change) {
    long offset = nextOffset++;
    try {
      document = document.with(offset, change);
      return CompletableFuture.completedFuture(new PublishResult.Accepted(offset));
    } catch (SnipeloomException e) {
      return CompletableFuture.completedFuture(PublishResult.Refused.of(e));
    }
  }
}
