package io.snipeloom.standin;

import io.snipeloom.client.LogPage;
import io.snipeloom.client.LogRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One stream of the log. Thread-safe. */
final class LogStream {
  private static final int MAX_PAGE_BYTES = 8 << 20;
  private static final int COMPACT_ABOVE = 1024;

  private final List<byte[]> records = new ArrayList<>();
  private final Set<Waiter> waiting = new HashSet<>();

  private long base;
  private long firstRetained;

  /** Appends a record, forgets old ones and returns the offset. */
  long append(byte[] data, int retain) {
    List<Waiter> woken;
    long offset;
    synchronized (this) {
      records.add(data);
      offset = next() - 1;
      forget(retain);
      woken = List.copyOf(waiting);
      waiting.clear();
    }
    woken.forEach(waiter -> waiter.appended.complete(null));
    return offset;
  }

  /** Reads records; completes at once, with the next append or after the wait. */
  CompletableFuture<LogPage> read(long from, int limit, long waitMillis, int retain) {
    Waiter waiter;
    synchronized (this) {
      forget(retain);
      if (from < next() || waitMillis == 0) {
        return CompletableFuture.completedFuture(page(from, limit));
      }
      waiter = new Waiter();
      waiting.add(waiter);
    }
    return waiter
        .appended
        .completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
        .thenApply(ignored -> pageAfterWait(waiter, from, limit));
  }

  private synchronized LogPage pageAfterWait(Waiter waiter, long from, int limit) {
    waiting.remove(waiter);
    return page(from, limit);
  }

  private LogPage page(long from, int limit) {
    List<LogRecord> found = new ArrayList<>();
    int bytes = 0;
    for (long offset = Math.max(from, firstRetained); offset < next(); offset++) {
      byte[] data = records.get((int) (offset - base));
      bytes += data.length;
      if (found.size() == limit || (!found.isEmpty() && bytes > MAX_PAGE_BYTES)) {
        break;
      }
      found.add(new LogRecord(offset, data));
    }
    return new LogPage(firstRetained, next(), found);
  }

  private void forget(int retain) {
    if (retain > 0) {
      firstRetained = Math.max(firstRetained, next() - retain);
    }
    if (firstRetained - base > COMPACT_ABOVE) {
      records.subList(0, (int) (firstRetained - base)).clear();
      base = firstRetained;
    }
  }

  private long next() {
    return base + records.size();
  }

  /** A read that waits for the next append. */
  private static final class Waiter {
    final CompletableFuture<Void> appended = new CompletableFuture<>();
  }
}
