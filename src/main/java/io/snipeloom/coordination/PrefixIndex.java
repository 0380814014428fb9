package io.snipeloom.coordination;

import java.util.function.LongSupplier;

/**
 * An index of the prompt prefixes that the back ends probably hold in their caches.
 *
 * <p>It is updated from the prompts that the router sends and from cache events. As cache events
 * arrive late and with gaps, an entry is only a hint; a wrong one costs time but not correctness.
 * Memory is bounded: when a bucket is full, its oldest entry is replaced. Thread-safe; the table is
 * divided into shards, each guarded by its own lock.
 */
public final class PrefixIndex {
  /** The default maximum number of entries. */
  public static final int DEFAULT_ENTRIES = 1 << 16;

  private static final int SHARDS = 16;
  private static final int WAYS = 8;
  private static final long MAX_AGE_NANOS = 600_000_000_000L;
  private static final double CONFIDENCE_AFTER_GAP = 0.5;

  private final Shard[] shards = new Shard[SHARDS];
  private final LongSupplier nanoClock;

  private PrefixIndex(int entries, LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    for (int i = 0; i < SHARDS; i++) {
      shards[i] = new Shard(Math.max(1, entries / SHARDS / WAYS));
    }
  }

  /**
   * Returns an empty index.
   *
   * @param entries the maximum number of entries
   * @param nanoClock a monotonic clock in nanoseconds
   */
  public static PrefixIndex of(int entries, LongSupplier nanoClock) {
    return new PrefixIndex(entries, nanoClock);
  }

  /**
   * Records that a prompt was sent to a back end, which will then probably cache its prefix.
   *
   * @param prefix the hash chain of the prompt
   */
  public void recordSend(BackEnd backEnd, PrefixChain prefix) {
    long now = nanoClock.getAsLong();
    for (int i = 0; i < prefix.length(); i++) {
      put(prefix.hash(i), backEnd, now);
    }
  }

  /** Applies a cache event of a back end. */
  public void apply(BackEnd backEnd, CacheEvent event) {
    long now = nanoClock.getAsLong();
    if (event.afterGap()) {
      backEnd.recordCacheGap(now);
    }
    if (event.cleared()) {
      backEnd.recordCacheCleared();
    }
    for (long hash : event.stored()) {
      put(hash, backEnd, now);
    }
    for (long hash : event.evicted()) {
      Shard shard = shard(hash);
      synchronized (shard) {
        shard.remove(hash, backEnd);
      }
    }
  }

  /**
   * Collects the back ends that probably hold a prefix of the chain. The longest cached prefix is
   * found by binary search, since a cache that holds a block also holds all blocks before it.
   *
   * @param prefix the hash chain of the prompt
   * @param matches receives the back ends with the number of blocks that they hold
   */
  void find(PrefixChain prefix, PrefixMatches matches) {
    if (prefix.length() == 0) {
      return;
    }
    long now = nanoClock.getAsLong();
    int low = 0;
    int high = prefix.length() - 1;
    while (low <= high) {
      int middle = (low + high + 1) >>> 1;
      if (collect(prefix.hash(middle), middle + 1, now, matches)) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
  }

  private boolean collect(long hash, int blocks, long now, PrefixMatches matches) {
    Shard shard = shard(hash);
    synchronized (shard) {
      return shard.collect(hash, blocks, now, matches);
    }
  }

  private void put(long hash, BackEnd backEnd, long now) {
    Shard shard = shard(hash);
    synchronized (shard) {
      shard.put(hash, backEnd, now);
    }
  }

  private Shard shard(long hash) {
    return shards[(int) (hash >>> 60) & (SHARDS - 1)];
  }

  /** A set-associative table, guarded by its own monitor. */
  private static final class Shard {
    private final int buckets;
    private final long[] hashes;
    private final BackEnd[] owners;
    private final int[] epochs;
    private final long[] recordedNanos;

    Shard(int buckets) {
      this.buckets = buckets;
      hashes = new long[buckets * WAYS];
      owners = new BackEnd[buckets * WAYS];
      epochs = new int[buckets * WAYS];
      recordedNanos = new long[buckets * WAYS];
    }

    private int firstWay(long hash) {
      return (int) Long.remainderUnsigned(hash, buckets) * WAYS;
    }

    void put(long hash, BackEnd owner, long now) {
      int first = firstWay(hash);
      int victim = first;
      for (int i = first; i < first + WAYS; i++) {
        if (owners[i] == null || (hashes[i] == hash && owners[i] == owner)) {
          victim = i;
          break;
        }
        if (recordedNanos[i] < recordedNanos[victim]) {
          victim = i;
        }
      }
      hashes[victim] = hash;
      owners[victim] = owner;
      epochs[victim] = owner.epoch();
      recordedNanos[victim] = now;
    }

    void remove(long hash, BackEnd owner) {
      int first = firstWay(hash);
      for (int i = first; i < first + WAYS; i++) {
        if (hashes[i] == hash && owners[i] == owner) {
          hashes[i] = 0;
          epochs[i] = Integer.MIN_VALUE;
          recordedNanos[i] = Long.MIN_VALUE;
        }
      }
    }

    boolean collect(long hash, int blocks, long now, PrefixMatches matches) {
      boolean found = false;
      int first = firstWay(hash);
      for (int i = first; i < first + WAYS && owners[i] != null; i++) {
        if (hashes[i] == hash && isCurrent(i, now)) {
          double confidence =
              recordedNanos[i] < owners[i].cacheGapNanos() ? CONFIDENCE_AFTER_GAP : 1;
          matches.add(owners[i], blocks * confidence);
          found = true;
        }
      }
      return found;
    }

    private boolean isCurrent(int way, long now) {
      return epochs[way] == owners[way].epoch() && now - recordedNanos[way] < MAX_AGE_NANOS;
    }
  }
}
