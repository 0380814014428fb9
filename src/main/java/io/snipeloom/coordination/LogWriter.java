package io.snipeloom.coordination;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.client.LogService;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RecordCodec;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

/**
 * Appends the records of this process to the decision stream, many in one append.
 *
 * <p>One append is under way at a time. A batch whose answer was lost is appended again with the
 * same sequence number, which readers drop if the first one was written. A batch that readers
 * refused as stale was never applied and is sent again under a new number. The futures complete
 * when the replica of this process has applied the batch. Thread-safe; start it once, and stop it
 * after the last record was handed in.
 */
public final class LogWriter implements RecordSink {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** How long appends must have failed before the log counts as unreachable. */
  private static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(1);

  private final String stream;
  private final Incarnation writer;
  private final LogService log;
  private final LogReplica replica;
  private final LogWriterSettings settings;
  private final LongSupplier nanoClock;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Deque<Pending> queue = new ArrayDeque<>();
  private final SortedMap<Long, List<Pending>> outstanding = new TreeMap<>();
  private final SortedMap<Long, List<Pending>> refusedBatches = new TreeMap<>();
  private final Meter appends;
  private final Meter appendedRecords;
  private final Counter failures;
  private Thread thread;
  private boolean urgent;
  private boolean stopping;
  private boolean aborted;
  private long oldestNanos;
  private long lastAppendNanos;
  private long sequence;
  private volatile boolean failing;
  private volatile long failingSinceNanos;

  /**
   * Creates a writer that is not started yet.
   *
   * @param stream the name of the decision stream
   * @param writer the incarnation of this process
   * @param log the log service
   * @param replica the replica of this process, which tells when a batch was applied
   * @param settings the pacing
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics the registry for the metrics of the writer
   */
  public LogWriter(
      String stream,
      Incarnation writer,
      LogService log,
      LogReplica replica,
      LogWriterSettings settings,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    this.stream = stream;
    this.writer = writer;
    this.log = log;
    this.replica = replica;
    this.settings = settings;
    this.nanoClock = nanoClock;
    this.appends = metrics.meter("log.appends");
    this.appendedRecords = metrics.meter("log.appended_records");
    this.failures = metrics.counter("log.append_failures");
    this.lastAppendNanos = nanoClock.getAsLong() - settings.minInterval().toNanos();
  }

  /** Starts to append. */
  public void start() {
    thread = new Thread(this::run, "log-writer");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Appends what was handed in, then stops.
   *
   * @param patience how long an unreachable log is waited for
   * @return true if everything handed in is in the log
   */
  public boolean stop(Duration patience) {
    lock.lock();
    try {
      stopping = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    boolean drained = joinFor(patience);
    lock.lock();
    try {
      aborted = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    return drained;
  }

  private boolean joinFor(Duration patience) {
    try {
      thread.join(Math.max(1, patience.toMillis()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return !thread.isAlive();
  }

  /**
   * Returns the incarnation that this writer writes for.
   *
   * @return the incarnation
   */
  public Incarnation incarnation() {
    return writer;
  }

  @Override
  public boolean isReachable() {
    return !failing || nanoClock.getAsLong() - failingSinceNanos < UNREACHABLE_AFTER.toNanos();
  }

  @Override
  public CompletionStage<Long> append(List<DecisionRecord> records) {
    return enqueue(records, false);
  }

  @Override
  public CompletionStage<Long> appendNow(List<DecisionRecord> records) {
    return enqueue(records, true);
  }

  private CompletionStage<Long> enqueue(List<DecisionRecord> records, boolean now) {
    Pending pending = new Pending(List.copyOf(records), new CompletableFuture<>());
    lock.lock();
    try {
      if (aborted) {
        throw SnipeloomException.of(ErrorCode.LOG_UNAVAILABLE, "the writer has stopped");
      }
      if (queue.isEmpty()) {
        oldestNanos = nanoClock.getAsLong();
      }
      queue.add(pending);
      urgent |= now;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    return pending.done();
  }

  /**
   * Learns from the replica that a batch of this writer was read back. Also ends the retries of an
   * append whose answer was lost.
   *
   * <p>Readers refuse every batch that was built before its writer could see a first refusal. Their
   * records are sent again in their order and before any later ones, once no other batch is under
   * way: a report that work is settled must never overtake the settlement.
   *
   * @param number the sequence number of the batch
   * @param offset its offset
   * @param refused whether readers refused the batch, in which case it is sent again
   */
  void onReadBack(long number, long offset, boolean refused) {
    List<Pending> seen;
    failing = false;
    lock.lock();
    try {
      seen = outstanding.remove(number);
      if (seen != null && refused) {
        refusedBatches.put(number, seen);
      }
      requeueRefused();
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    if (seen != null && !refused) {
      seen.forEach(pending -> pending.done().complete(offset));
    }
  }

  private void requeueRefused() {
    if (refusedBatches.isEmpty() || !outstanding.isEmpty()) {
      return;
    }
    List<Pending> again = new ArrayList<>();
    refusedBatches.values().forEach(again::addAll);
    refusedBatches.clear();
    for (int i = again.size() - 1; i >= 0; i--) {
      queue.addFirst(again.get(i));
    }
    urgent = true;
  }

  private void run() {
    while (true) {
      List<Pending> taken = take();
      if (taken.isEmpty()) {
        return;
      }
      if (isAborted()) {
        requeue(taken);
        failOutstanding();
        return;
      }
      write(taken);
    }
  }

  private void requeue(List<Pending> taken) {
    lock.lock();
    try {
      queue.addAll(taken);
    } finally {
      lock.unlock();
    }
  }

  private List<Pending> take() {
    lock.lock();
    try {
      awaitDue();
      List<Pending> taken = new ArrayList<>();
      int count = 0;
      while (!queue.isEmpty()
          && (taken.isEmpty()
              || count + queue.peek().records().size() <= settings.maxBatchRecords())) {
        Pending next = queue.poll();
        count += next.records().size();
        taken.add(next);
      }
      urgent = urgent && !queue.isEmpty();
      oldestNanos = nanoClock.getAsLong();
      return taken;
    } finally {
      lock.unlock();
    }
  }

  private void awaitDue() {
    while (!aborted) {
      if (queue.isEmpty() || !refusedBatches.isEmpty()) {
        if (stopping && refusedBatches.isEmpty()) {
          return;
        }
        changed.awaitUninterruptibly();
        continue;
      }
      long wait = nanosUntilDue();
      if (wait <= 0) {
        return;
      }
      awaitNanos(wait);
    }
  }

  private long nanosUntilDue() {
    long now = nanoClock.getAsLong();
    long paced = lastAppendNanos + settings.minInterval().toNanos() - now;
    if (urgent || stopping) {
      return paced;
    }
    long lingered = oldestNanos + settings.linger().toNanos() - now;
    return Math.max(paced, lingered);
  }

  /** Waits once; every caller checks its condition in a loop. */
  @SuppressWarnings("WaitNotInLoop")
  private void awaitNanos(long nanos) {
    try {
      long unused = changed.awaitNanos(nanos);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      aborted = true;
    }
  }

  private void write(List<Pending> taken) {
    List<DecisionRecord> records = new ArrayList<>();
    taken.forEach(pending -> records.addAll(pending.records()));
    RecordBatch batch = register(taken, records);
    appendUntilAnswered(batch.sequence(), RecordCodec.encode(batch));
    appendedRecords.mark(records.size());
    if (isAborted()) {
      failOutstanding();
    }
  }

  private RecordBatch register(List<Pending> taken, List<DecisionRecord> records) {
    lock.lock();
    try {
      long number = ++sequence;
      outstanding.put(number, taken);
      return new RecordBatch(writer, number, replica.appliedOffset(), records);
    } finally {
      lock.unlock();
    }
  }

  private void appendUntilAnswered(long number, byte[] data) {
    long delayNanos = settings.firstRetryDelay().toNanos();
    while (isOutstanding(number)) {
      lastAppendNanos = nanoClock.getAsLong();
      try {
        log.append(stream, data);
        appends.mark();
        failing = false;
        return;
      } catch (SnipeloomException e) {
        failures.inc();
        noteFailure();
        LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
            "event=append_failed stream=%s code=%s sequence=%d", stream, e.code().text(), number);
      }
      pause(delayNanos);
      delayNanos = Math.min(delayNanos * 2, settings.maxRetryDelay().toNanos());
    }
  }

  private void noteFailure() {
    if (!failing) {
      failingSinceNanos = nanoClock.getAsLong();
      failing = true;
    }
  }

  private boolean isOutstanding(long number) {
    lock.lock();
    try {
      return !aborted && outstanding.containsKey(number);
    } finally {
      lock.unlock();
    }
  }

  private void failOutstanding() {
    List<Pending> failed = new ArrayList<>();
    lock.lock();
    try {
      outstanding.values().forEach(failed::addAll);
      outstanding.clear();
      refusedBatches.values().forEach(failed::addAll);
      refusedBatches.clear();
      failed.addAll(queue);
      queue.clear();
    } finally {
      lock.unlock();
    }
    SnipeloomException error =
        SnipeloomException.of(ErrorCode.LOG_UNAVAILABLE, "the writer stopped before its append")
            .withOrigin("append", stream);
    failed.forEach(pending -> pending.done().completeExceptionally(error));
  }

  private void pause(long nanos) {
    lock.lock();
    try {
      long end = nanoClock.getAsLong() + nanos;
      for (long left = nanos; left > 0 && !aborted; left = end - nanoClock.getAsLong()) {
        awaitNanos(left);
      }
    } finally {
      lock.unlock();
    }
  }

  private boolean isAborted() {
    lock.lock();
    try {
      return aborted;
    } finally {
      lock.unlock();
    }
  }

  /** Records that are appended together and the future that reports it. */
  private record Pending(List<DecisionRecord> records, CompletableFuture<Long> done) {}
}
