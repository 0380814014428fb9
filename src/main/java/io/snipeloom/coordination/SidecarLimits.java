package io.snipeloom.coordination;

import java.time.Duration;

/**
 * Bounds of a sidecar.
 *
 * @param capacity the attempts that run at once
 * @param queueLimit the attempts that wait
 * @param windowChunks the chunks sent to a reader and not yet acknowledged
 * @param answerBytes the largest answer kept in memory
 * @param keptBytes the bytes of ended answers kept for repeats, all together
 * @param keptTime how long an ended answer is kept
 * @param memoryTime how long an attempt is remembered after it was received
 * @param memoryEntries the attempts remembered
 * @param orphanLimit how long an attempt whose answer is not retained runs on without a reader
 * @param pauseLimit the gap between ticks after which the process counts as paused
 * @param crashReportLimit how long a crash report may hold back the end of an answer
 */
public record SidecarLimits(
    int capacity,
    int queueLimit,
    int windowChunks,
    long answerBytes,
    long keptBytes,
    Duration keptTime,
    Duration memoryTime,
    int memoryEntries,
    Duration orphanLimit,
    Duration pauseLimit,
    Duration crashReportLimit) {
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

  /**
   * Returns the limits used unless others are given.
   *
   * @return the default limits
   */
  public static SidecarLimits standard() {
    return DEFAULT;
  }

  /**
   * Returns a copy with another capacity and queue.
   *
   * @param newCapacity the attempts that run at once
   * @param newQueueLimit the attempts that wait
   * @return the copy
   */
  public SidecarLimits withCapacity(int newCapacity, int newQueueLimit) {
    return new SidecarLimits(
        newCapacity,
        newQueueLimit,
        windowChunks,
        answerBytes,
        keptBytes,
        keptTime,
        memoryTime,
        memoryEntries,
        orphanLimit,
        pauseLimit,
        crashReportLimit);
  }

  /**
   * Returns a copy with another window.
   *
   * @param chunks the chunks sent to a reader and not yet acknowledged
   * @return the copy
   */
  public SidecarLimits withWindowChunks(int chunks) {
    return new SidecarLimits(
        capacity,
        queueLimit,
        chunks,
        answerBytes,
        keptBytes,
        keptTime,
        memoryTime,
        memoryEntries,
        orphanLimit,
        pauseLimit,
        crashReportLimit);
  }
}
