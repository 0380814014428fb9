package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.transport.FrameConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The attempts whose answers are in memory: all open ones, and ended ones for a while. */
final class AttemptTable {
  private static final long FIRST_MEAN_RUN_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MEAN_WEIGHT = 8;
  private static final int MAX_UNREAD_FACTOR = 4;

  private final long keptBytes;
  private final long keptNanos;
  private final Map<AttemptId, SidecarAttempt> attempts = new LinkedHashMap<>();
  private long endedBytes;
  private long meanRunNanos = FIRST_MEAN_RUN_NANOS;

  AttemptTable(long keptBytes, long keptNanos) {
    this.keptBytes = keptBytes;
    this.keptNanos = keptNanos;
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

  /** Returns whether every answer was read to its end, or nobody came to read it for a while. */
  boolean isDelivered(long unreadLimitNanos, long nowNanos) {
    return attempts.values().stream()
        .allMatch(attempt -> isDelivered(attempt, unreadLimitNanos, nowNanos));
  }

  private static boolean isDelivered(SidecarAttempt attempt, long unreadLimitNanos, long nowNanos) {
    AnswerBuffer buffer = attempt.buffer();
    if (buffer.hasReaders() || buffer.wasRead()) {
      return buffer.isDelivered();
    }
    return attempt.hasEndedFor(unreadLimitNanos, nowNanos);
  }

  /** Returns whether unread answers take so much memory that no more work fits. */
  boolean isFull() {
    return endedBytes > keptBytes * MAX_UNREAD_FACTOR;
  }

  long meanRunMillis() {
    return TimeUnit.NANOSECONDS.toMillis(meanRunNanos);
  }

  /** Drops ended answers that are old or too many, the oldest first. */
  void evict(long nowNanos) {
    endedBytes =
        attempts.values().stream()
            .filter(SidecarAttempt::isEnded)
            .mapToLong(attempt -> attempt.buffer().bytes())
            .sum();
    Iterator<SidecarAttempt> oldest = attempts.values().iterator();
    while (oldest.hasNext()) {
      SidecarAttempt attempt = oldest.next();
      boolean due = attempt.hasEndedFor(keptNanos, nowNanos) || endedBytes > keptBytes;
      if (attempt.isEnded() && due && attempt.buffer().isDelivered()) {
        endedBytes -= attempt.buffer().bytes();
        countRun(attempt);
        oldest.remove();
      }
    }
  }

  private void countRun(SidecarAttempt attempt) {
    if (attempt.runNanos() > 0) {
      meanRunNanos += (attempt.runNanos() - meanRunNanos) / MEAN_WEIGHT;
    }
  }
}
