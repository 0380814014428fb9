package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.transport.FrameConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The attempts whose answers are buffered: all open ones, and ended ones until they are evicted.
 */
final class AttemptTable {
  private static final long INITIAL_MEAN_RUN_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MEAN_WEIGHT_DIVISOR = 8;

  /** New attempts are refused if ended answers exceed the eviction limit by this factor. */
  private static final int FULL_FACTOR = 4;

  private final long maxEndedBytes;
  private final long retentionNanos;
  private final Map<AttemptId, SidecarAttempt> attempts = new LinkedHashMap<>();
  private long endedBytes;
  private long meanRunNanos = INITIAL_MEAN_RUN_NANOS;

  AttemptTable(long maxEndedBytes, long retentionNanos) {
    this.maxEndedBytes = maxEndedBytes;
    this.retentionNanos = retentionNanos;
  }

  void add(SidecarAttempt attempt) {
    attempts.put(attempt.id(), attempt);
  }

  Optional<SidecarAttempt> get(AttemptId id) {
    return Optional.ofNullable(attempts.get(id));
  }

  void sendAvailable(FrameConnection connection) {
    attempts.values().forEach(attempt -> attempt.buffer().sendAvailable());
  }

  void unsubscribe(FrameConnection connection) {
    attempts.values().forEach(attempt -> attempt.buffer().unsubscribe(connection));
  }

  /**
   * Returns whether every answer was sent completely to its readers. An answer that has no readers
   * and was never sent completely counts as delivered once its attempt ended longer ago than the
   * limit.
   */
  boolean isDelivered(long unreadLimitNanos, long nowNanos) {
    return attempts.values().stream()
        .allMatch(attempt -> isDelivered(attempt, unreadLimitNanos, nowNanos));
  }

  private static boolean isDelivered(SidecarAttempt attempt, long unreadLimitNanos, long nowNanos) {
    AnswerBuffer buffer = attempt.buffer();
    if (buffer.hasReaders() || buffer.wasFullySent()) {
      return buffer.isDelivered();
    }
    return attempt.hasEndedFor(unreadLimitNanos, nowNanos);
  }

  /**
   * Returns whether the answers of ended attempts occupy so much memory that new attempts must be
   * refused.
   */
  boolean isFull() {
    return endedBytes > maxEndedBytes * FULL_FACTOR;
  }

  long meanRunMillis() {
    return TimeUnit.NANOSECONDS.toMillis(meanRunNanos);
  }

  /**
   * Evicts delivered answers of ended attempts, the oldest first, while they are older than the
   * retention time or the answers of ended attempts exceed the size limit.
   */
  void evict(long nowNanos) {
    endedBytes =
        attempts.values().stream()
            .filter(SidecarAttempt::isEnded)
            .mapToLong(attempt -> attempt.buffer().bytes())
            .sum();
    Iterator<SidecarAttempt> oldest = attempts.values().iterator();
    while (oldest.hasNext()) {
      SidecarAttempt attempt = oldest.next();
      boolean evictable =
          attempt.hasEndedFor(retentionNanos, nowNanos) || endedBytes > maxEndedBytes;
      if (attempt.isEnded() && evictable && attempt.buffer().isDelivered()) {
        endedBytes -= attempt.buffer().bytes();
        updateMeanRun(attempt);
        oldest.remove();
      }
    }
  }

  private void updateMeanRun(SidecarAttempt attempt) {
    if (attempt.runNanos() > 0) {
      meanRunNanos += (attempt.runNanos() - meanRunNanos) / MEAN_WEIGHT_DIVISOR;
    }
  }
}
