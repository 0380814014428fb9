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
 * Appends the records of this process to the decision stream, batching many records into one
 * append.
 *
 * <p>Only one append is in flight at a time. An append that was not answered is retried with the
 * same sequence number, so that readers drop the duplicate if the first one was written. A batch
 * that readers refused as stale was never applied and is sent again with a new sequence number. The
 * returned futures complete when the replica of this process has applied the batch. Thread-safe;
 * start it once, and stop it after the last record was submitted.
 */
public final class LogWriter implements RecordSink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long appends must have failed before the log is reported as unreachable. */
  private static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(1);

  private final String stream;
  private final Incarnation writer;
  private final LogService log;
  private final LogReplica replica;
  private final LogWriterSettings settings;
  private final LongSupplier nanoClock;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Deque<Submission> queue = new ArrayDeque<>();
  private final SortedMap<Long, List<Submission>> outstanding = new TreeMap<>();
  private final SortedMap<Long, List<Submission>> refusedBatches = new TreeMap<>();
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
   * @param replica the replica of this process, which reports when a batch was applied
   * @param settings the batching, pacing and retry delays
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

  /** Starts the thread that appends. */
  public void start() {
    thread = new Thread(this::run, "log-writer");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Appends the submitted records, then stops.
   *
   * @param timeout how long to wait for the appends, such as when the log is unreachable
   * @return true if all submitted records are in the log; false if the timeout elapsed
   */
  public boolean stop(Duration timeout) {
    lock.lock();
    try {
      stopping = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    boolean drained = joinThread(timeout);
    lock.lock();
    try {
      aborted = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    return drained;
  }

  private boolean joinThread(Duration timeout) {
    try {
      thread.join(Math.max(1, timeout.toMillis()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return !thread.isAlive();
  }

  /** Returns the incarnation under which this writer appends. */
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
    Submission submission = new Submission(List.copyOf(records), new CompletableFuture<>());
    lock.lock();
    try {
      if (aborted) {
        throw SnipeloomException.of(ErrorCode.LOG_UNAVAILABLE, "the log writer has stopped");
      }
      if (queue.isEmpty()) {
        oldestNanos = nanoClock.getAsLong();
      }
      queue.add(submission);
      urgent |= now;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    return submission.done();
  }

  /**
   * Handles a batch of this writer that the replica has read back from the log. This also ends the
   * retries of an append whose answer was lost.
   *
   * <p>After refusing one batch, readers refuse every further batch that was built before the
   * writer could learn of that refusal. The records of the refused batches are sent again in their
   * original order and before any later records, once no other batch is in flight: a report that a
   * holder is drained must never precede the settlement it relies on.
   *
   * @param number the sequence number of the batch
   * @param offset the log offset of the batch
   * @param refused whether readers refused the batch, in which case its records are sent again
   */
  void onReadBack(long number, long offset, boolean refused) {
    List<Submission> readBack;
    failing = false;
    lock.lock();
    try {
      readBack = outstanding.remove(number);
      if (readBack != null && refused) {
        refusedBatches.put(number, readBack);
      }
      requeueRefused();
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    if (readBack != null && !refused) {
      readBack.forEach(submission -> submission.done().complete(offset));
    }
  }

  private void requeueRefused() {
    if (refusedBatches.isEmpty() || !outstanding.isEmpty()) {
      return;
    }
    List<Submission> retried = new ArrayList<>();
    refusedBatches.values().forEach(retried::addAll);
    refusedBatches.clear();
    for (int i = retried.size() - 1; i >= 0; i--) {
      queue.addFirst(retried.get(i));
    }
    urgent = true;
  }

  private void run() {
    while (true) {
      List<Submission> submissions = take();
      if (submissions.isEmpty()) {
        return;
      }
      if (isAborted()) {
        requeue(submissions);
        failOutstanding();
        return;
      }
      write(submissions);
    }
  }

  private void requeue(List<Submission> submissions) {
    lock.lock();
    try {
      queue.addAll(submissions);
    } finally {
      lock.unlock();
    }
  }

  private List<Submission> take() {
    lock.lock();
    try {
      awaitBatchDue();
      List<Submission> submissions = new ArrayList<>();
      int count = 0;
      while (!queue.isEmpty()
          && (submissions.isEmpty()
              || count + queue.peek().records().size() <= settings.maxBatchRecords())) {
        Submission next = queue.poll();
        count += next.records().size();
        submissions.add(next);
      }
      urgent = urgent && !queue.isEmpty();
      oldestNanos = nanoClock.getAsLong();
      return submissions;
    } finally {
      lock.unlock();
    }
  }

  private void awaitBatchDue() {
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
    long pacingNanos = lastAppendNanos + settings.minInterval().toNanos() - now;
    if (urgent || stopping) {
      return pacingNanos;
    }
    long lingerNanos = oldestNanos + settings.linger().toNanos() - now;
    return Math.max(pacingNanos, lingerNanos);
  }

  /** Waits once without a loop of its own; every caller checks its condition in a loop. */
  @SuppressWarnings("WaitNotInLoop")
  private void awaitNanos(long nanos) {
    try {
      long unused = changed.awaitNanos(nanos);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      aborted = true;
    }
  }

  private void write(List<Submission> submissions) {
    List<DecisionRecord> records = new ArrayList<>();
    submissions.forEach(submission -> records.addAll(submission.records()));
    RecordBatch batch = register(submissions, records);
    appendUntilAnswered(batch.sequence(), RecordCodec.encode(batch));
    appendedRecords.mark(records.size());
    if (isAborted()) {
      failOutstanding();
    }
  }

  private RecordBatch register(List<Submission> submissions, List<DecisionRecord> records) {
    lock.lock();
    try {
      long number = ++sequence;
      outstanding.put(number, submissions);
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
        recordFailure();
        logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
            "event=append_failed stream=%s code=%s sequence=%d", stream, e.code().text(), number);
      }
      pause(delayNanos);
      delayNanos = Math.min(delayNanos * 2, settings.maxRetryDelay().toNanos());
    }
  }

  private void recordFailure() {
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
    List<Submission> failed = new ArrayList<>();
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
        SnipeloomException.of(
                ErrorCode.LOG_UNAVAILABLE,
                "the log writer stopped before these records were confirmed in the log")
            .withOrigin("append", stream);
    failed.forEach(submission -> submission.done().completeExceptionally(error));
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

  /**
   * Records that are appended together, and the future that completes with the offset of their
   * batch.
   */
  private record Submission(List<DecisionRecord> records, CompletableFuture<Long> done) {}
}
