package io.snipeloom.coordination;

import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.PublishResult;
import io.snipeloom.state.SnipeloomException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Applies changes at once, in the order of the calls; each call takes one offset. */
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
    } catch (SnipeloomException refused) {
      return CompletableFuture.completedFuture(PublishResult.Refused.of(refused));
    }
  }
}
