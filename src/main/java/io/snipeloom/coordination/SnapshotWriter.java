package io.snipeloom.coordination;

import com.google.common.flogger.FluentLogger;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.SnapshotAssembler;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Appends a snapshot of the decision state when the last one in the log is old.
 *
 * <p>Every router runs one; jitter lets the first to notice write it and the others see it in time.
 * Two snapshots do no harm. Not thread-safe; call {@link #step} periodically from one thread.
 */
public final class SnapshotWriter {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration MAX_JITTER = Duration.ofSeconds(10);

  private final LogReplica replica;
  private final RecordSink records;
  private final SnapshotSchedule schedule;
  private final LongSupplier nanoClock;
  private final RandomGenerator random;
  private long knownStart = Long.MIN_VALUE;
  private long knownSinceNanos;
  private long dueNanos;
  private boolean due;

  /**
   * Creates a writer.
   *
   * @param replica the replica of the decision state
   * @param records takes the snapshot
   * @param schedule when a snapshot is old
   * @param nanoClock a monotonic clock in nanoseconds
   * @param random the source of jitter
   */
  public SnapshotWriter(
      LogReplica replica,
      RecordSink records,
      SnapshotSchedule schedule,
      LongSupplier nanoClock,
      RandomGenerator random) {
    this.replica = replica;
    this.records = records;
    this.schedule = schedule;
    this.nanoClock = nanoClock;
    this.random = random;
    this.knownSinceNanos = nanoClock.getAsLong();
  }

  /** Appends a snapshot if the last one is old and nobody else wrote one meanwhile. */
  public void step() {
    if (!replica.isCaughtUp()) {
      return;
    }
    long now = nanoClock.getAsLong();
    noticeNewSnapshot(now);
    long behind = replica.appliedOffset() - Math.max(0, knownStart);
    if (!schedule.isOld(behind, Duration.ofNanos(now - knownSinceNanos))) {
      due = false;
      return;
    }
    if (!due) {
      due = true;
      dueNanos = now + random.nextLong(MAX_JITTER.toNanos());
    }
    if (now - dueNanos >= 0) {
      due = false;
      knownSinceNanos = now;
      write();
    }
  }

  private void noticeNewSnapshot(long now) {
    long start = replica.read(DecisionState::latestSnapshotStart);
    if (start != knownStart) {
      knownStart = start;
      knownSinceNanos = now;
    }
  }

  private void write() {
    List<DecisionRecord.SnapshotChunk> chunks = replica.read(SnapshotAssembler::split);
    LOG.atInfo().log(
        "event=snapshot_written offset=%d chunks=%d", chunks.get(0).asOf(), chunks.size());
    chunks.forEach(chunk -> records.append(List.of(chunk)));
  }
}
