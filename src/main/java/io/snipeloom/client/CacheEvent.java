package io.snipeloom.client;

/**
 * A change to the prefix cache of a model engine.
 *
 * @param sequence the sequence number of the event; a gap in the numbers means that events were
 *     lost
 * @param kind the type of change
 * @param hash the hash of the prefix in hexadecimal; see {@link PrefixHashes}
 */
public record CacheEvent(long sequence, Kind kind, String hash) {

  /** The types of changes. */
  public enum Kind {
    ADDED,
    EVICTED
  }
}
