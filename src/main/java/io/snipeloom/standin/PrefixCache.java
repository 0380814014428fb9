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

/** The bounded prefix cache of an engine and the events about it. Thread-safe. */
final class PrefixCache {
  private static final int MAX_EVENTS = 20_000;
  private static final int MAX_PAGE = 2_000;

  private final int capacity;
  private final LongSupplier nanos;
  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Timed> events = new ArrayDeque<>();

  private long epoch = 1;
  private long nextSequence;

  PrefixCache(int capacity, LongSupplier nanos) {
    this.capacity = capacity;
    this.nanos = nanos;
  }

  /** Returns the number of cached blocks of a prompt and caches all its blocks. */
  synchronized int use(List<String> prefixes) {
    int cached = 0;
    while (cached < prefixes.size() && blocks.get(prefixes.get(cached)) != null) {
      cached++;
    }
    add(prefixes.subList(cached, prefixes.size()));
    return cached;
  }

  /** Caches blocks and evicts the ones that were not used for longest. */
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

  /** Forgets everything, as after a restart. */
  synchronized void clear() {
    blocks.clear();
    events.clear();
    nextSequence = 0;
    epoch++;
  }

  /** Returns the hashes of all cached blocks. */
  synchronized List<String> hashes() {
    return new ArrayList<>(blocks.keySet());
  }

  /** Returns the events that are visible after the lag, without those lost in gaps. */
  synchronized CachePage page(long from, long lagMillis, int gapEvery) {
    long visibleUntil = nanos.getAsLong() - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    List<CacheEvent> found = new ArrayList<>();
    long next = Math.min(from, nextSequence);
    for (Timed timed : events) {
      if (timed.at() - visibleUntil > 0 || found.size() == MAX_PAGE) {
        break;
      }
      CacheEvent event = timed.event();
      if (event.sequence() < from) {
        continue;
      }
      next = event.sequence() + 1;
      if (gapEvery == 0 || next % gapEvery != 0) {
        found.add(event);
      }
    }
    return new CachePage(epoch, next, found);
  }

  private void record(CacheEvent.Kind kind, String hash) {
    events.addLast(new Timed(nanos.getAsLong(), new CacheEvent(nextSequence++, kind, hash)));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  private record Timed(long at, CacheEvent event) {}
}
