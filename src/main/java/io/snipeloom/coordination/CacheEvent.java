package io.snipeloom.coordination;

/**
 * A change of the prefix cache of a back end, as published by the engine.
 *
 * @param stored the hashes of the blocks that were stored
 * @param evicted the hashes of the blocks that were evicted
 * @param cleared whether the cache was cleared before the blocks were stored
 * @param afterGap whether events that preceded this one were lost
 */
public record CacheEvent(long[] stored, long[] evicted, boolean cleared, boolean afterGap) {

  /** Makes copies of the arrays. */
  public CacheEvent {
    stored = stored.clone();
    evicted = evicted.clone();
  }
}
