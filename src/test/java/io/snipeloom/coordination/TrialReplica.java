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
 * A replica that batches up to its capacity, prefills one prompt at a time and keeps a bounded
 * prefix cache.
 */
final class TrialReplica {
  private static final long PREFILL_PER_BLOCK = 8 * TrialClock.MILLI;
  private static final long STEP = 20 * TrialClock.MILLI;
  private static final long STEP_PER_NEIGHBOUR = TrialClock.MILLI / 2;
  private static final int CACHE_BLOCKS = 1_500;

  final Instance instance;
  final int capacity;
  private final TrialClock clock;
  private final PriorityQueue<Job> queue =
      new PriorityQueue<>(Comparator.comparingInt(Job::rank).thenComparingLong(Job::number));
  private final List<Job> running = new ArrayList<>();
  private final List<Long> stored = new ArrayList<>();
  private final List<Long> evicted = new ArrayList<>();
  private final Map<Long, Boolean> cache =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          if (size() > CACHE_BLOCKS) {
            evicted.add(eldest.getKey());
            return true;
          }
          return false;
        }
      };
  private long prefillFree;
  private long number;
  boolean up = true;
  int generation = 1;

  /** One attempt at the replica. */
  record Job(
      TrialRequest request, long number, LongConsumer onFirst, Runnable onEnd, Runnable lost) {
    int rank() {
      return request.requestClass.urgency().rank();
    }
  }

  TrialReplica(Instance instance, int capacity, TrialClock clock) {
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

  void submit(TrialRequest request, LongConsumer onFirst, Runnable onEnd, Runnable lost) {
    if (!up) {
      lost.run();
      return;
    }
    queue.add(new Job(request, number++, onFirst, onEnd, lost));
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
    all.forEach(job -> job.lost().run());
  }

  void recover() {
    up = true;
    generation++;
    prefillFree = clock.getAsLong();
  }

  /** Takes the cache event since the last call. */
  CacheEvent takeEvent(boolean afterGap) {
    CacheEvent event = new CacheEvent(array(stored), array(evicted), false, afterGap);
    stored.clear();
    evicted.clear();
    return event;
  }

  private static long[] array(List<Long> values) {
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
      endAfter(job, request.plainNanos, request.plainNanos);
      return;
    }
    int cached = useCache(request.prefix);
    request.cachedBlocks = cached;
    long prefill = (request.prefix.length() - cached) * PREFILL_PER_BLOCK;
    prefillFree = Math.max(clock.getAsLong(), prefillFree) + prefill;
    long step = STEP + running.size() * STEP_PER_NEIGHBOUR;
    long first = prefillFree - clock.getAsLong() + step;
    endAfter(job, first, first + step * (request.tokens - 1));
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

  private void endAfter(Job job, long first, long end) {
    clock.after(
        first,
        () -> {
          if (running.contains(job)) {
            job.onFirst().accept(clock.getAsLong());
          }
        });
    clock.after(
        end,
        () -> {
          if (running.remove(job)) {
            job.onEnd().run();
            startNext();
          }
        });
  }
}
