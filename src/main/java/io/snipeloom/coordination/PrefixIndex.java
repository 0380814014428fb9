package io.snipeloom.coordination;

import java.util.function.LongSupplier;

/**
 * Remembers which back ends probably hold which prompt prefixes in their cache.
 *
 * <p>It is fed by the router's own sends and by cache events, which come late and with gaps, so an
 * entry is a hint: a wrong one costs time only. Memory is bounded; the oldest entry of a bucket is
 * replaced. Thread-safe: the table is split into shards, each under its own lock.
 */
public final class PrefixIndex {
  /** The entries held when no size is given. */
  public static final int DEFAULT_ENTRIES = 1 << 16;

  private static final int SHARDS = 16;
  private static final int WAYS = 8;
  private static final long MAX_AGE_NANOS = 600_000_000_000L;
  private static final double TRUST_AFTER_GAP = 0.5;

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
   * @param entries the most entries held
   * @param nanoClock the clock in nanoseconds
   * @return the index
   */
  public static PrefixIndex of(int entries, LongSupplier nanoClock) {
    return new PrefixIndex(entries, nanoClock);
  }

  /**
   * Notes that a prompt was sent to a back end, which will then hold its prefix.
   *
   * @param backEnd the back end
   * @param prefix the hash chain of the prompt
   */
  public void recordSend(BackEnd backEnd, PrefixChain prefix) {
    long now = nanoClock.getAsLong();
    for (int i = 0; i < prefix.length(); i++) {
      put(prefix.hash(i), backEnd, now);
    }
  }

  /**
   * Applies a cache event of a back end.
   *
   * @param backEnd the back end
   * @param event the event
   */
  public void apply(BackEnd backEnd, CacheEvent event) {
    long now = nanoClock.getAsLong();
    if (event.afterGap()) {
      backEnd.noteCacheGap(now);
    }
    if (event.cleared()) {
      backEnd.noteCacheCleared();
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
   * Collects the back ends that probably hold a prefix of the chain. The longest held prefix is
   * found by bisection, since a cache that holds a block holds those before it.
   *
   * @param prefix the hash chain of the prompt
   * @param matches receives the back ends with their held blocks
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

  /** A set-associative table; guarded by itself. */
  private static final class Shard {
    private final int buckets;
    private final long[] hashes;
    private final BackEnd[] owners;
    private final int[] epochs;
    private final long[] stamps;

    Shard(int buckets) {
      this.buckets = buckets;
      hashes = new long[buckets * WAYS];
      owners = new BackEnd[buckets * WAYS];
      epochs = new int[buckets * WAYS];
      stamps = new long[buckets * WAYS];
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
        if (stamps[i] < stamps[victim]) {
          victim = i;
        }
      }
      hashes[victim] = hash;
      owners[victim] = owner;
      epochs[victim] = owner.epoch();
      stamps[victim] = now;
    }

    void remove(long hash, BackEnd owner) {
      int first = firstWay(hash);
      for (int i = first; i < first + WAYS; i++) {
        if (hashes[i] == hash && owners[i] == owner) {
          hashes[i] = 0;
          epochs[i] = Integer.MIN_VALUE;
          stamps[i] = Long.MIN_VALUE;
        }
      }
    }

    boolean collect(long hash, int blocks, long now, PrefixMatches matches) {
      boolean found = false;
      int first = firstWay(hash);
      for (int i = first; i < first + WAYS && owners[i] != null; i++) {
        if (hashes[i] == hash && isCurrent(i, now)) {
          double trust = stamps[i] < owners[i].cacheGapNanos() ? TRUST_AFTER_GAP : 1;
          matches.add(owners[i], blocks * trust);
          found = true;
        }
      }
      return found;
    }

    private boolean isCurrent(int way, long now) {
      return epochs[way] == owners[way].epoch() && now - stamps[way] < MAX_AGE_NANOS;
    }
  }
}
