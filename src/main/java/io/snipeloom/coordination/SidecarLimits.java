package io.snipeloom.coordination;

import java.time.Duration;

/**
 * The limits of a sidecar.
 *
 * @param capacity the maximum number of attempts that run at the same time
 * @param queueLimit the maximum number of waiting attempts
 * @param windowChunks the maximum number of unacknowledged chunks sent to a reader
 * @param answerBytes the maximum number of bytes buffered for one answer
 * @param maxEndedBytes the total size in bytes above which answers of ended attempts are evicted
 * @param answerRetention how long the answer of an ended attempt is buffered
 * @param attemptRetention how long the record of an attempt is kept after the attempt was received
 * @param maxRecords the maximum number of recorded attempts, and of tombstones of request keys
 * @param unreadLimit how long a repeatable attempt whose answer is not retained continues without a
 *     reader, and how long a leaving sidecar waits for a reader of an ended answer
 * @param maxTickGap the gap between ticks after which the process counts as paused
 * @param crashReportTimeout how long attempts that were in flight at a crash wait for the crash
 *     report before they are ended
 */
public record SidecarLimits(
    int capacity,
    int queueLimit,
    int windowChunks,
    long answerBytes,
    long maxEndedBytes,
    Duration answerRetention,
    Duration attemptRetention,
    int maxRecords,
    Duration unreadLimit,
    Duration maxTickGap,
    Duration crashReportTimeout) {
  private static final SidecarLimits DEFAULT =
      new SidecarLimits(
          16,
          64,
          256,
          8L << 20,
          16L << 20,
          Duration.ofMinutes(2),
          Duration.ofMinutes(15),
          65_536,
          Duration.ofSeconds(10),
          Duration.ofSeconds(2),
          Duration.ofSeconds(2));

  /** Returns the default limits. */
  public static SidecarLimits standard() {
    return DEFAULT;
  }

  /**
   * Returns a copy with another capacity and queue limit.
   *
   * @param newCapacity the maximum number of attempts that run at the same time
   * @param newQueueLimit the maximum number of waiting attempts
   */
  public SidecarLimits withCapacity(int newCapacity, int newQueueLimit) {
    return new SidecarLimits(
        newCapacity,
        newQueueLimit,
        windowChunks,
        answerBytes,
        maxEndedBytes,
        answerRetention,
        attemptRetention,
        maxRecords,
        unreadLimit,
        maxTickGap,
        crashReportTimeout);
  }

  /**
   * Returns a copy with another reader window.
   *
   * @param chunks the maximum number of unacknowledged chunks sent to a reader
   */
  public SidecarLimits withWindowChunks(int chunks) {
    return new SidecarLimits(
        capacity,
        queueLimit,
        chunks,
        answerBytes,
        maxEndedBytes,
        answerRetention,
        attemptRetention,
        maxRecords,
        unreadLimit,
        maxTickGap,
        crashReportTimeout);
  }
}
