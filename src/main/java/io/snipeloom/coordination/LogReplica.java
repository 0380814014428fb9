package io.snipeloom.coordination;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.platform.LogPage;
import io.snipeloom.platform.LogRecord;
import io.snipeloom.platform.LogService;
import io.snipeloom.state.ApplyResult;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RecordCodec;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Function;

/**
 * Follows the decision stream and keeps this process's replica of the decision state.
 *
 * <p>Listeners learn of every decision in log order, after the state shows it. A replica that fell
 * behind the retention of the log starts anew from a snapshot. Thread-safe; add the listeners, then
 * start it once.
 */
public final class LogReplica {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int PAGE_RECORDS = 1_000;
  private static final Duration POLL_WAIT = Duration.ofSeconds(1);
  private static final Duration ERROR_PAUSE = Duration.ofMillis(200);

  private final String stream;
  private final LogService log;
  private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
  private final List<DecisionListener> listeners = new CopyOnWriteArrayList<>();
  private final List<BatchListener> batchListeners = new CopyOnWriteArrayList<>();
  private final Counter malformed;
  private final Counter readFailures;
  private final RecentRecords recent = new RecentRecords();
  private DecisionState state = DecisionState.empty();
  private volatile long appliedOffset = -1;
  private volatile long logEnd;
  private volatile boolean caughtUp;
  private volatile boolean reachable;
  private volatile boolean stopping;
  private Thread thread;

  /**
   * Creates a replica that is not started yet.
   *
   * @param stream the name of the decision stream
   * @param log the log service
   * @param metrics the registry for the metrics of the replica
   */
  public LogReplica(String stream, LogService log, MetricRegistry metrics) {
    this.stream = stream;
    this.log = log;
    this.malformed = metrics.counter("log.malformed_records");
    this.readFailures = metrics.counter("log.read_failures");
    metrics.register("log.applied_offset", (Gauge<Long>) () -> appliedOffset);
    metrics.register("log.lag_records", (Gauge<Long>) this::lag);
  }

  /** Starts to follow the stream. */
  public void start() {
    thread = new Thread(this::run, "log-replica");
    thread.setDaemon(true);
    thread.start();
  }

  /** Stops following the stream. */
  public void stop() {
    stopping = true;
    thread.interrupt();
    try {
      thread.join(POLL_WAIT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Adds a listener for decisions.
   *
   * @param listener the listener
   */
  public void addListener(DecisionListener listener) {
    listeners.add(listener);
  }

  /**
   * Tells a writer which of its batches were read back.
   *
   * @param writer the writer of this process
   */
  public void addWriter(LogWriter writer) {
    batchListeners.add(
        (batch, offset, refused) -> {
          if (batch.writer().equals(writer.incarnation())) {
            writer.onReadBack(batch.sequence(), offset, refused);
          }
        });
  }

  /**
   * Reads from the state under its lock.
   *
   * @param <T> the type of the result
   * @param reader takes what it needs; must not keep the state
   * @return what the reader returned
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
   * Returns the offset of the last applied batch.
   *
   * @return the offset; -1 before the first
   */
  public long appliedOffset() {
    return appliedOffset;
  }

  /**
   * Returns whether the replica has once reached the end of the log since it started.
   *
   * @return true if it has caught up
   */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /**
   * Returns whether the last read was answered.
   *
   * @return false while reads fail
   */
  public boolean isReachable() {
    return reachable;
  }

  /**
   * Returns how many records the replica is behind the end of the log that it last saw.
   *
   * @return the number of records
   */
  public long lag() {
    return Math.max(0, logEnd - 1 - appliedOffset);
  }

  /**
   * Returns records that this replica applied lately, for a peer that cannot read the log.
   *
   * @param from the first offset wanted
   * @param limit the most records returned
   * @return the records
   */
  public LogPage recentPage(long from, int limit) {
    return recent.page(from, limit);
  }

  private void run() {
    while (!stopping) {
      try {
        apply(log.read(stream, appliedOffset + 1, PAGE_RECORDS, POLL_WAIT));
        reachable = true;
      } catch (SnipeloomException e) {
        reachable = false;
        readFailures.inc();
        LOG.atWarning().atMostEvery(5, TimeUnit.SECONDS).log(
            "event=log_read_failed stream=%s code=%s", stream, e.code().text());
        pause();
      }
    }
  }

  private void apply(LogPage page) {
    if (page.firstRetained() > appliedOffset + 1) {
      throw SnipeloomException.of(
          ErrorCode.NOT_READY, "the log no longer keeps offset " + (appliedOffset + 1));
    }
    logEnd = page.next();
    page.records().forEach(this::applyRecord);
    if (appliedOffset + 1 >= page.next()) {
      caughtUp = true;
    }
  }

  private void applyRecord(LogRecord record) {
    if (record.offset() <= appliedOffset) {
      return;
    }
    RecordBatch batch = decode(record);
    List<DecisionEvent> events = applyBatch(record.offset(), batch);
    recent.add(record);
    appliedOffset = record.offset();
    events.forEach(event -> listeners.forEach(listener -> listener.onEvent(event)));
    if (batch != null) {
      boolean stale = events.stream().anyMatch(LogReplica::isStaleDrop);
      batchListeners.forEach(listener -> listener.onBatch(batch, record.offset(), stale));
    }
  }

  private static boolean isStaleDrop(DecisionEvent event) {
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
      LOG.atSevere().log(
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

  /** Learns of each batch that was read back from the log. */
  @FunctionalInterface
  interface BatchListener {

    /**
     * Learns of a batch.
     *
     * @param batch the batch
     * @param offset its offset
     * @param refused whether it was refused and had no effect
     */
    void onBatch(RecordBatch batch, long offset, boolean refused);
  }
}
