package io.snipeloom.standin;

import io.snipeloom.client.LogPage;
import io.snipeloom.client.LogRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One append-only stream of records. Thread-safe. */
final class LogStream {
  private static final int MAX_PAGE_BYTES = 8 << 20;
  private static final int COMPACT_THRESHOLD_RECORDS = 1024;

  private final List<byte[]> records = new ArrayList<>();
  private final Set<Waiter> waiting = new HashSet<>();

  private long firstStored;
  private long firstRetained;

  /**
   * Appends a record, discards those beyond the retention limit and returns the offset of the new
   * record.
   */
  long append(byte[] data, int retain) {
    List<Waiter> waiters;
    long offset;
    synchronized (this) {
      records.add(data);
      offset = nextOffset() - 1;
      discardOld(retain);
      waiters = List.copyOf(waiting);
      waiting.clear();
    }
    waiters.forEach(waiter -> waiter.appended.complete(null));
    return offset;
  }

  /**
   * Reads records. The future completes immediately if there are records at or after the offset or
   * the wait time is 0, else with the next append or after the wait time.
   */
  CompletableFuture<LogPage> read(long firstOffset, int limit, long waitMillis, int retain) {
    Waiter waiter;
    synchronized (this) {
      discardOld(retain);
      if (firstOffset < nextOffset() || waitMillis == 0) {
        return CompletableFuture.completedFuture(page(firstOffset, limit));
      }
      waiter = new Waiter();
      waiting.add(waiter);
    }
    return waiter
        .appended
        .completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
        .thenApply(ignored -> pageAfterWait(waiter, firstOffset, limit));
  }

  private synchronized LogPage pageAfterWait(Waiter waiter, long firstOffset, int limit) {
    waiting.remove(waiter);
    return page(firstOffset, limit);
  }

  private LogPage page(long firstOffset, int limit) {
    List<LogRecord> found = new ArrayList<>();
    int bytes = 0;
    for (long offset = Math.max(firstOffset, firstRetained); offset < nextOffset(); offset++) {
      byte[] data = records.get((int) (offset - firstStored));
      bytes += data.length;
      if (found.size() == limit || (!found.isEmpty() && bytes > MAX_PAGE_BYTES)) {
        break;
      }
      found.add(new LogRecord(offset, data));
    }
    return new LogPage(firstRetained, nextOffset(), found);
  }

  private void discardOld(int retain) {
    if (retain > 0) {
      firstRetained = Math.max(firstRetained, nextOffset() - retain);
    }
    if (firstRetained - firstStored > COMPACT_THRESHOLD_RECORDS) {
      records.subList(0, (int) (firstRetained - firstStored)).clear();
      firstStored = firstRetained;
    }
  }

  private long nextOffset() {
    return firstStored + records.size();
  }

  /** A pending read that completes with the next append. */
  private static final class Waiter {
    final CompletableFuture<Void> appended = new CompletableFuture<>();
  }
}
