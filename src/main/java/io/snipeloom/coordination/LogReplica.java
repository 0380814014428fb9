package io.snipeloom.coordination;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.client.LogPage;
import io.snipeloom.client.LogRecord;
import io.snipeloom.client.LogService;
import io.snipeloom.state.ApplyResult;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RecordCodec;
import io.snipeloom.state.SnapshotAssembler;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Reads the decision stream and maintains this process's replica of the decision state.
 *
 * <p>Listeners receive every decision in log order, after it was applied to the state. A new
 * replica whose first offset is no longer retained by the log loads a snapshot; a replica that
 * later falls behind the retention fails. Thread-safe; add the listeners before the single call of
 * {@link #start}.
 */
public final class LogReplica {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PAGE_RECORDS = 1_000;
  private static final Duration POLL_WAIT = Duration.ofSeconds(1);
  private static final Duration ERROR_PAUSE = Duration.ofMillis(200);

  private final String stream;
  private final LogService log;
  private final LongSupplier nanoClock;
  private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
  private final List<DecisionListener> listeners = new CopyOnWriteArrayList<>();
  private final List<BatchListener> batchListeners = new CopyOnWriteArrayList<>();
  private final Counter malformed;
  private final Counter readFailures;
  private final RecentRecords recent = new RecentRecords();
  private DecisionState state = DecisionState.empty();
  private volatile long appliedOffset = -1;
  private long nextOffset;
  private SnapshotAssembler assembler;
  private Consumer<SnipeloomException> failureListener = error -> {};
  private volatile long logEnd;
  private volatile boolean caughtUp;
  private volatile boolean reachable;
  private volatile long answeredNanos;
  private volatile boolean stopping;
  private Thread thread;

  /**
   * Creates a replica that is not started yet.
   *
   * @param stream the name of the decision stream
   * @param log the log service
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics the registry for the metrics of the replica
   */
  public LogReplica(String stream, LogService log, LongSupplier nanoClock, MetricRegistry metrics) {
    this.stream = stream;
    this.log = log;
    this.nanoClock = nanoClock;
    this.answeredNanos = nanoClock.getAsLong();
    this.malformed = metrics.counter("log.malformed_records");
    this.readFailures = metrics.counter("log.read_failures");
    metrics.register("log.applied_offset", (Gauge<Long>) () -> appliedOffset);
    metrics.register("log.lag_records", (Gauge<Long>) this::lag);
  }

  /** Starts the thread that reads the stream. */
  public void start() {
    thread = new Thread(this::run, "log-replica");
    thread.setDaemon(true);
    thread.start();
  }

  /** Stops reading the stream. */
  public void stop() {
    stopping = true;
    thread.interrupt();
    try {
      thread.join(POLL_WAIT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Adds a listener that receives every decision. */
  public void addListener(DecisionListener listener) {
    listeners.add(listener);
  }

  /**
   * Sets the listener for the unrecoverable failure of the replica: an invariant was violated, or
   * the log dropped records that the replica had not read. The process must then restart with a new
   * incarnation.
   *
   * @param listener receives the failure, at most once
   */
  public void onFailure(Consumer<SnipeloomException> listener) {
    failureListener = listener;
  }

  /**
   * Adds a writer, which is notified of each of its batches that is read back from the log.
   *
   * @param writer the writer of this process
   */
  public void addWriter(LogWriter writer) {
    batchListeners.add(
        (batch, offset, events) -> {
          if (batch.writer().equals(writer.incarnation())) {
            boolean refused = events.stream().anyMatch(LogReplica::isRefusal);
            writer.onReadBack(batch.sequence(), offset, refused);
          }
        });
  }

  /** Adds a listener that receives every batch read from the log. */
  void addBatchListener(BatchListener listener) {
    batchListeners.add(listener);
  }

  /**
   * Reads from the decision state under its read lock.
   *
   * @param <T> the type of the result
   * @param reader computes the result; must not retain a reference to the state
   */
  public <T> T read(Function<DecisionState, T> reader) {
    lock.readLock().lock();
    try {
      return reader.apply(state);
    } finally {
      lock.readLock().unlock();
    }
  }

  /**
   * Returns the offset of the last applied record.
   *
   * @return the offset; -1 if no record was applied yet
   */
  public long appliedOffset() {
    return appliedOffset;
  }

  /**
   * Returns whether the replica has reached the end of the log at least once since its start.
   *
   * @return true if it has caught up; false again after an unrecoverable failure
   */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /**
   * Returns whether the last read of the log succeeded.
   *
   * @return false before the first successful read and while reads fail
   */
  public boolean isReachable() {
    return reachable;
  }

  /**
   * Returns the time of the last successful read of the log.
   *
   * @return the time on the monotonic clock, in nanoseconds; the time of construction before the
   *     first successful read
   */
  public long answeredNanos() {
    return answeredNanos;
  }

  /** Returns by how many records the replica lags behind the end of the log as of the last read. */
  public long lag() {
    return Math.max(0, logEnd - 1 - appliedOffset);
  }

  /**
   * Returns records that this replica applied recently, for a peer that cannot read the log.
   *
   * @param from the first offset to return
   * @param limit the maximum number of records
   */
  public LogPage recentPage(long from, int limit) {
    return recent.page(from, limit);
  }

  private void run() {
    while (!stopping) {
      try {
        apply(log.read(stream, nextOffset, PAGE_RECORDS, POLL_WAIT));
        reachable = true;
        answeredNanos = nanoClock.getAsLong();
      } catch (SnipeloomException e) {
        onFailedRead(e);
      }
    }
  }

  private void onFailedRead(SnipeloomException error) {
    if (isUnrecoverable(error)) {
      stopping = true;
      caughtUp = false;
      logger.atSevere().log("event=replica_failed stream=%s error=%s", stream, error.getMessage());
      failureListener.accept(error);
      return;
    }
    reachable = false;
    readFailures.inc();
    logger.atWarning().atMostEvery(5, TimeUnit.SECONDS).log(
        "event=log_read_failed stream=%s code=%s", stream, error.code().text());
    pause();
  }

  private static boolean isUnrecoverable(SnipeloomException error) {
    return error.code() == ErrorCode.INVARIANT_VIOLATED || error.code() == ErrorCode.NOT_READY;
  }

  private void apply(LogPage page) {
    if (page.firstRetained() > nextOffset) {
      startSnapshotLoad(page.firstRetained());
    }
    logEnd = page.next();
    if (assembler != null) {
      searchSnapshot(page.records());
      return;
    }
    page.records().forEach(this::applyRecord);
    if (nextOffset >= page.next()) {
      caughtUp = true;
    }
  }

  private void startSnapshotLoad(long firstRetained) {
    if (appliedOffset >= 0) {
      throw SnipeloomException.of(
          ErrorCode.NOT_READY, "the log no longer retains offset " + nextOffset);
    }
    assembler = SnapshotAssembler.startingAt(firstRetained);
    nextOffset = firstRetained;
  }

  /**
   * Searches the records for a complete snapshot and installs it. Reading then continues at the
   * offset after the one that the snapshot covers, so that records which followed it are read
   * again.
   */
  private void searchSnapshot(List<LogRecord> records) {
    for (LogRecord record : records) {
      nextOffset = record.offset() + 1;
      RecordBatch batch = decode(record);
      Optional<DecisionState> loaded = batch == null ? Optional.empty() : assembler.offer(batch);
      if (loaded.isPresent()) {
        install(loaded.get());
        return;
      }
    }
  }

  private void install(DecisionState loaded) {
    lock.writeLock().lock();
    try {
      state = loaded;
    } finally {
      lock.writeLock().unlock();
    }
    assembler = null;
    appliedOffset = loaded.appliedOffset();
    nextOffset = appliedOffset + 1;
    logger.atInfo().log("event=snapshot_loaded stream=%s offset=%d", stream, appliedOffset);
  }

  private void applyRecord(LogRecord record) {
    if (record.offset() < nextOffset) {
      return;
    }
    RecordBatch batch = decode(record);
    List<DecisionEvent> events = applyBatch(record.offset(), batch);
    recordApplied(record);
    events.forEach(event -> listeners.forEach(listener -> listener.onEvent(event)));
    if (batch != null) {
      batchListeners.forEach(listener -> listener.onBatch(batch, record.offset(), events));
    }
  }

  private void recordApplied(LogRecord record) {
    recent.add(record);
    appliedOffset = record.offset();
    nextOffset = appliedOffset + 1;
  }

  private static boolean isRefusal(DecisionEvent event) {
    return event instanceof DecisionEvent.BatchDropped dropped
        && dropped.reason() != DecisionEvent.DropReason.DUPLICATE;
  }

  private List<DecisionEvent> applyBatch(long offset, RecordBatch batch) {
    lock.writeLock().lock();
    try {
      if (batch == null) {
        state.skip(offset);
        return List.of();
      }
      ApplyResult result = state.apply(offset, batch);
      return result.events();
    } finally {
      lock.writeLock().unlock();
    }
  }

  private RecordBatch decode(LogRecord record) {
    try {
      return RecordCodec.decode(record.data());
    } catch (SnipeloomException e) {
      malformed.inc();
      logger.atSevere().log(
          "event=malformed_record stream=%s offset=%d code=%s",
          stream, record.offset(), e.code().text());
      return null;
    }
  }

  private void pause() {
    try {
      TimeUnit.NANOSECONDS.sleep(ERROR_PAUSE.toNanos());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Receives each batch that was read from the log. */
  @FunctionalInterface
  interface BatchListener {

    /**
     * Receives a batch after it was applied.
     *
     * @param offset the log offset of the batch
     * @param events the decisions that resulted from the batch
     */
    void onBatch(RecordBatch batch, long offset, List<DecisionEvent> events);
  }
}
