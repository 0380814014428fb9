package io.snipeloom.client;

import java.util.List;

/**
 * A page of cache events.
 *
 * @param epoch identifies a run of the engine; it changes when the engine restarts with an empty
 *     cache
 * @param next the sequence number from which to request the next page
 * @param events the events in order of their sequence numbers, possibly with gaps
 */
public record CachePage(long epoch, long next, List<CacheEvent> events) {

  /** Copies the list of events. */
  public CachePage {
    events = List.copyOf(events);
  }
}
