package io.snipeloom.coordination;

/**
 * A change of the prefix cache of a back end, as the engine published it.
 *
 * @param stored the hashes of blocks stored
 * @param evicted the hashes of blocks evicted
 * @param cleared whether the cache was emptied before the blocks were stored
 * @param afterGap whether events before this one were lost
 */
public record CacheEvent(long[] stored, long[] evicted, boolean cleared, boolean afterGap) {

  /** Copies the hashes. */
  public CacheEvent {
    stored = stored.clone();
    evicted = evicted.clone();
  }
}
