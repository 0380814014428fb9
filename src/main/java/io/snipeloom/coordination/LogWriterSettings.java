package io.snipeloom.coordination;

import java.time.Duration;

/**
 * The pacing of a {@link LogWriter}.
 *
 * @param linger how long records that nobody waits for are collected into one append
 * @param minInterval the least time between two appends
 * @param maxBatchRecords the most records in one append
 * @param firstRetryDelay the delay before a failed append is sent again; doubled each time
 * @param maxRetryDelay the longest such delay
 */
public record LogWriterSettings(
    Duration linger,
    Duration minInterval,
    int maxBatchRecords,
    Duration firstRetryDelay,
    Duration maxRetryDelay) {

  /**
   * Returns the pacing used unless settings say otherwise.
   *
   * @return the default pacing
   */
  public static LogWriterSettings standard() {
    return new LogWriterSettings(
        Duration.ofMillis(250),
        Duration.ofMillis(10),
        500,
        Duration.ofMillis(50),
        Duration.ofSeconds(2));
  }
}
