package io.snipeloom.coordination;

import io.snipeloom.client.Instance;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * A simulated model replica. It runs a batch of up to its capacity, prefills one prompt at a time
 * and keeps a prefix cache of bounded size.
 */
final class TrialReplica {
  private static final long PREFILL_NANOS_PER_BLOCK = 8 * VirtualClock.MILLI;
  private static final long DECODE_STEP_NANOS = 20 * VirtualClock.MILLI;
  private static final long DECODE_STEP_NANOS_PER_RUNNING_JOB = VirtualClock.MILLI / 2;
  private static final int CACHE_CAPACITY_BLOCKS = 1_500;

  final Instance instance;
  final int capacity;
  private final VirtualClock clock;
  private final PriorityQueue<Job> queue =
      new PriorityQueue<>(Comparator.comparingInt(Job::rank).thenComparingLong(Job::number));
  private final List<Job> running = new ArrayList<>();
  private final List<Long> stored = new ArrayList<>();
  private final List<Long> evicted = new ArrayList<>();
  private final Map<Long, Boolean> cache =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          if (size() > CACHE_CAPACITY_BLOCKS) {
            evicted.add(eldest.getKey());
            return true;
          }
          return false;
        }
      };
  private long prefillFreeNanos;
  private long number;
  boolean up = true;
  int generation = 1;

  /** An attempt that is queued or running at the replica. */
  record Job(
      TrialRequest request,
      long number,
      LongConsumer onFirstToken,
      Runnable onEnd,
      Runnable onLost) {
    int rank() {
      return request.requestClass.urgency().rank();
    }
  }

  TrialReplica(Instance instance, int capacity, VirtualClock clock) {
    this.instance = instance;
    this.capacity = capacity;
    this.clock = clock;
  }

  int running() {
    return running.size();
  }

  int queued() {
    return queue.size();
  }

  boolean hasFreeSlot() {
    return up && running.size() < capacity && queue.isEmpty();
  }

  void submit(TrialRequest request, LongConsumer onFirstToken, Runnable onEnd, Runnable onLost) {
    if (!up) {
      onLost.run();
      return;
    }
    queue.add(new Job(request, number++, onFirstToken, onEnd, onLost));
    startNext();
  }

  void crash() {
    up = false;
    List<Job> all = new ArrayList<>(running);
    all.addAll(queue);
    running.clear();
    queue.clear();
    cache.clear();
    stored.clear();
    evicted.clear();
    all.forEach(job -> job.onLost().run());
  }

  void recover() {
    up = true;
    generation++;
    prefillFreeNanos = clock.getAsLong();
  }

  /** Returns the cache changes since the last call as one event and clears them. */
  CacheEvent drainCacheEvent(boolean afterGap) {
    CacheEvent event = new CacheEvent(toArray(stored), toArray(evicted), false, afterGap);
    stored.clear();
    evicted.clear();
    return event;
  }

  private static long[] toArray(List<Long> values) {
    return values.stream().mapToLong(Long::longValue).toArray();
  }

  private void startNext() {
    while (running.size() < capacity && !queue.isEmpty()) {
      Job job = queue.poll();
      running.add(job);
      start(job);
    }
  }

  private void start(Job job) {
    TrialRequest request = job.request();
    if (request.prefix.length() == 0) {
      scheduleEnd(job, request.serviceNanos, request.serviceNanos);
      return;
    }
    int cached = useCache(request.prefix);
    request.cachedBlocks = cached;
    long prefillNanos = (request.prefix.length() - cached) * PREFILL_NANOS_PER_BLOCK;
    prefillFreeNanos = Math.max(clock.getAsLong(), prefillFreeNanos) + prefillNanos;
    long stepNanos = DECODE_STEP_NANOS + running.size() * DECODE_STEP_NANOS_PER_RUNNING_JOB;
    long firstTokenDelayNanos = prefillFreeNanos - clock.getAsLong() + stepNanos;
    scheduleEnd(
        job, firstTokenDelayNanos, firstTokenDelayNanos + stepNanos * (request.outputTokens - 1));
  }

  private int useCache(PrefixChain prefix) {
    int cached = 0;
    while (cached < prefix.length() && cache.containsKey(prefix.hash(cached))) {
      cached++;
    }
    for (int i = prefix.length() - 1; i >= 0; i--) {
      if (cache.put(prefix.hash(i), true) == null) {
        stored.add(prefix.hash(i));
      }
    }
    return cached;
  }

  private void scheduleEnd(Job job, long firstTokenDelayNanos, long endDelayNanos) {
    clock.runAfter(
        firstTokenDelayNanos,
        () -> {
          if (running.contains(job)) {
            job.onFirstToken().accept(clock.getAsLong());
          }
        });
    clock.runAfter(
        endDelayNanos,
        () -> {
          if (running.remove(job)) {
            job.onEnd().run();
            startNext();
          }
        });
  }
}
