package io.snipeloom.coordination;

import java.util.Arrays;

/**
 * Counts the router's own requests at a back end and remembers the last changes, so that a load
 * report can be compared with the count at the time of the report. Thread-safe.
 */
final class InFlightHistory {
  private static final int LENGTH = 32;

  private final long[] times = new long[LENGTH];
  private final int[] counts = new int[LENGTH];
  private int last;
  private volatile int count;

  InFlightHistory() {
    Arrays.fill(times, Long.MIN_VALUE);
  }

  int count() {
    return count;
  }

  /**
   * Changes the count.
   *
   * @param change the change
   * @param nowNanos the present time in nanoseconds
   */
  synchronized void change(int change, long nowNanos) {
    int changed = count + change;
    last = (last + 1) % LENGTH;
    times[last] = nowNanos;
    counts[last] = changed;
    count = changed;
  }

  /**
   * Returns the count at an earlier time.
   *
   * @param nanos the time in nanoseconds
   * @return the count, or the oldest one known
   */
  synchronized int at(long nanos) {
    int oldest = last;
    for (int i = 0; i < LENGTH; i++) {
      int place = Math.floorMod(last - i, LENGTH);
      if (times[place] <= nanos) {
        return counts[place];
      }
      oldest = place;
    }
    return counts[oldest];
  }
}
