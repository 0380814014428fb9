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
 * Appends a snapshot of the decision state to the log when the latest one there is too old.
 *
 * <p>Every router runs a snapshot writer. A random delay makes it likely that one router writes the
 * snapshot and the others see it before their own delay ends. Two snapshots at the same time are
 * harmless. Not thread-safe; call {@link #step} periodically from one thread.
 */
public final class SnapshotWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration MAX_JITTER = Duration.ofSeconds(10);

  private final LogReplica replica;
  private final RecordSink records;
  private final SnapshotSchedule schedule;
  private final LongSupplier nanoClock;
  private final RandomGenerator random;
  private long latestStart = Long.MIN_VALUE;
  private long latestSeenNanos;
  private long writeDueNanos;
  private boolean writeScheduled;

  /**
   * Creates a writer.
   *
   * @param replica the replica of the decision state
   * @param records appends the snapshot to the decision stream
   * @param schedule the limits beyond which a snapshot is too old
   * @param nanoClock a monotonic clock in nanoseconds
   * @param random the source of the random delay
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
    this.latestSeenNanos = nanoClock.getAsLong();
  }

  /**
   * Appends a snapshot if the latest one is too old and no other router wrote one during the random
   * delay.
   */
  public void step() {
    if (!replica.isCaughtUp()) {
      return;
    }
    long now = nanoClock.getAsLong();
    detectNewSnapshot(now);
    long recordsSinceSnapshot = replica.appliedOffset() - Math.max(0, latestStart);
    if (!schedule.isSnapshotDue(recordsSinceSnapshot, Duration.ofNanos(now - latestSeenNanos))) {
      writeScheduled = false;
      return;
    }
    if (!writeScheduled) {
      writeScheduled = true;
      writeDueNanos = now + random.nextLong(MAX_JITTER.toNanos());
    }
    if (now - writeDueNanos >= 0) {
      writeScheduled = false;
      latestSeenNanos = now;
      write();
    }
  }

  private void detectNewSnapshot(long now) {
    long start = replica.read(DecisionState::latestSnapshotStart);
    if (start != latestStart) {
      latestStart = start;
      latestSeenNanos = now;
    }
  }

  private void write() {
    List<DecisionRecord.SnapshotChunk> chunks = replica.read(SnapshotAssembler::split);
    logger.atInfo().log(
        "event=snapshot_written offset=%d chunks=%d", chunks.get(0).asOf(), chunks.size());
    chunks.forEach(chunk -> records.append(List.of(chunk)));
  }
}
