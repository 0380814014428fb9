package io.snipeloom.routing;

import java.util.function.DoubleSupplier;

/**
 * Bounds the repeats to one service to a share of its requests in any window of time.
 *
 * <p>Each instance takes the share of the fixed part that its number in the fleet leaves it, so the
 * bound holds over all instances together. Not thread-safe.
 */
public final class RetryAllowance {
  private static final int BUCKETS = 20;

  private final double ratio;
  private final DoubleSupplier slack;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS];
  private final int[] repeats = new int[BUCKETS];
  private long currentBucket;

  /**
   * Creates an allowance.
   *
   * @param ratio the repeats that each request allows
   * @param slack the repeats in a window that need no request, as of now
   * @param windowNanos the length of the window
   */
  public RetryAllowance(double ratio, DoubleSupplier slack, long windowNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.bucketNanos = Math.max(1, windowNanos / (BUCKETS - 1));
  }

  /**
   * Counts the first arrival of a request.
   *
   * @param nowNanos the time
   */
  public void onRequest(long nowNanos) {
    requests[advance(nowNanos)]++;
  }

  /**
   * Takes a repeat.
   *
   * @param nowNanos the time
   * @return false if the window has no repeat left
   */
  public boolean tryRepeat(long nowNanos) {
    int bucket = advance(nowNanos);
    if (sum(repeats) + 1 > ratio * sum(requests) + slack.getAsDouble()) {
      return false;
    }
    repeats[bucket]++;
    return true;
  }

  private int advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    long from = Math.max(currentBucket + 1, bucket - BUCKETS + 1);
    for (long cleared = from; cleared <= bucket; cleared++) {
      int index = (int) Math.floorMod(cleared, (long) BUCKETS);
      requests[index] = 0;
      repeats[index] = 0;
    }
    currentBucket = Math.max(currentBucket, bucket);
    return (int) Math.floorMod(currentBucket, (long) BUCKETS);
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }
}
