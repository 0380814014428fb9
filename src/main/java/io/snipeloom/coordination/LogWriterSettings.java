package io.snipeloom.coordination;

import java.time.Duration;

/**
 * The batching, pacing and retry delays of a {@link LogWriter}.
 *
 * @param linger how long records that no request waits for are collected into one append
 * @param minInterval the minimum time between two appends
 * @param maxBatchRecords the maximum number of records in one append; a single submission may
 *     exceed it
 * @param firstRetryDelay the delay before the first retry of a failed append; doubled for each
 *     further retry
 * @param maxRetryDelay the upper bound of the retry delay
 */
public record LogWriterSettings(
    Duration linger,
    Duration minInterval,
    int maxBatchRecords,
    Duration firstRetryDelay,
    Duration maxRetryDelay) {

  /** Returns the default settings. */
  public static LogWriterSettings standard() {
    return new LogWriterSettings(
        Duration.ofMillis(250),
        Duration.ofMillis(10),
        500,
        Duration.ofMillis(50),
        Duration.ofSeconds(2));
  }
}
