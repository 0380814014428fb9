package io.snipeloom.client;

import java.util.List;

/**
 * A run of cache events.
 *
 * @param epoch changes when the engine starts again with an empty cache
 * @param next the sequence number to ask for next
 * @param events the events in order; some may be missing
 */
public record CachePage(long epoch, long next, List<CacheEvent> events) {

  /** Copies the events. */
  public CachePage {
    events = List.copyOf(events);
  }
}
