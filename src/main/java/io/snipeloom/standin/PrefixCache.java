package io.snipeloom.standin;

import io.snipeloom.client.CacheEvent;
import io.snipeloom.client.CachePage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The bounded prefix cache of an engine, with the events of its changes. Thread-safe. */
final class PrefixCache {
  private static final int MAX_EVENTS = 20_000;
  private static final int MAX_PAGE_EVENTS = 2_000;

  private final int capacity;
  private final LongSupplier nanos;
  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<TimedEvent> events = new ArrayDeque<>();

  private long epoch = 1;
  private long nextSequence;

  PrefixCache(int capacity, LongSupplier nanos) {
    this.capacity = capacity;
    this.nanos = nanos;
  }

  /**
   * Returns the number of leading blocks of a prompt that are cached, and caches the remaining
   * ones.
   */
  synchronized int lookUpAndCache(List<String> prefixes) {
    int cached = 0;
    while (cached < prefixes.size() && blocks.get(prefixes.get(cached)) != null) {
      cached++;
    }
    add(prefixes.subList(cached, prefixes.size()));
    return cached;
  }

  /** Caches blocks and evicts the least recently used ones beyond the capacity. */
  synchronized void add(List<String> hashes) {
    for (String hash : hashes) {
      if (capacity > 0 && blocks.put(hash, Boolean.TRUE) == null) {
        record(CacheEvent.Kind.ADDED, hash);
      }
    }
    Iterator<String> oldest = blocks.keySet().iterator();
    while (blocks.size() > capacity) {
      String evicted = oldest.next();
      oldest.remove();
      record(CacheEvent.Kind.EVICTED, evicted);
    }
  }

  /** Removes all blocks and events and starts a new epoch, as after a restart. */
  synchronized void clear() {
    blocks.clear();
    events.clear();
    nextSequence = 0;
    epoch++;
  }

  /** Returns the hashes of all cached blocks, least recently used first. */
  synchronized List<String> hashes() {
    return new ArrayList<>(blocks.keySet());
  }

  /**
   * Returns a page of the events that are at least {@code lagMillis} old, starting at a sequence
   * number. Unless {@code gapEvery} is 0, every {@code gapEvery}-th event is omitted.
   */
  synchronized CachePage page(long firstSequence, long lagMillis, int gapEvery) {
    long visibleUntil = nanos.getAsLong() - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    List<CacheEvent> found = new ArrayList<>();
    long nextAfterPage = Math.min(firstSequence, nextSequence);
    for (TimedEvent timed : events) {
      if (timed.at() - visibleUntil > 0 || found.size() == MAX_PAGE_EVENTS) {
        break;
      }
      CacheEvent event = timed.event();
      if (event.sequence() < firstSequence) {
        continue;
      }
      nextAfterPage = event.sequence() + 1;
      if (gapEvery == 0 || nextAfterPage % gapEvery != 0) {
        found.add(event);
      }
    }
    return new CachePage(epoch, nextAfterPage, found);
  }

  private void record(CacheEvent.Kind kind, String hash) {
    events.addLast(new TimedEvent(nanos.getAsLong(), new CacheEvent(nextSequence++, kind, hash)));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  private record TimedEvent(long at, CacheEvent event) {}
}
