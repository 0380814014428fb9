package io.snipeloom.client;

/**
 * A change of the prefix cache of a model engine.
 *
 * @param sequence the number of the event; a missing number is a lost event
 * @param kind what happened
 * @param hash the hash of the prefix, as in {@link PrefixHashes}
 */
public record CacheEvent(long sequence, Kind kind, String hash) {

  /** What happened to a prefix. */
  public enum Kind {
    ADDED,
    EVICTED
  }
}
