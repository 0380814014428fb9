package io.snipeloom.coordination;

import java.util.Arrays;

/**
 * Counts the requests that this router has in flight at a back end, and keeps the most recent
 * changes of the count, so that a load report can be compared with the count at the time of that
 * report. Thread-safe.
 */
final class InFlightHistory {
  private static final int MAX_CHANGES = 32;

  private final long[] times = new long[MAX_CHANGES];
  private final int[] counts = new int[MAX_CHANGES];
  private int newest;
  private volatile int count;

  InFlightHistory() {
    Arrays.fill(times, Long.MIN_VALUE);
  }

  int count() {
    return count;
  }

  /**
   * Changes the count and records the time of the change.
   *
   * @param change the number to add; negative to subtract
   * @param nowNanos the current time in nanoseconds
   */
  synchronized void change(int change, long nowNanos) {
    int newCount = count + change;
    newest = (newest + 1) % MAX_CHANGES;
    times[newest] = nowNanos;
    counts[newest] = newCount;
    count = newCount;
  }

  /**
   * Returns the in-flight count at an earlier time.
   *
   * @param nanos the time in nanoseconds
   * @return the count; the oldest one kept if the time is before all recorded changes
   */
  synchronized int at(long nanos) {
    int oldest = newest;
    for (int i = 0; i < MAX_CHANGES; i++) {
      int index = Math.floorMod(newest - i, MAX_CHANGES);
      if (times[index] <= nanos) {
        return counts[index];
      }
      oldest = index;
    }
    return counts[oldest];
  }
}
