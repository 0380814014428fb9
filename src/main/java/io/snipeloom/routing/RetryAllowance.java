package io.snipeloom.routing;

import java.util.function.DoubleSupplier;

/**
 * Limits the retries to one service to a fraction of its requests, plus a fixed number, in any time
 * window.
 *
 * <p>The fixed number is divided among the instances of the fleet, so that the limit holds for all
 * instances together. Not thread-safe.
 */
public final class RetryAllowance {
  private static final int BUCKETS = 20;

  /**
   * The share of the retries earned by requests that is not used. The instances of a fleet use up
   * theirs at different times, each when it has had many requests, so that their sum can exceed
   * that of one window.
   */
  private static final double RESERVED_SHARE = 0.1;

  private final double ratio;
  private final DoubleSupplier slack;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long currentBucket;

  /**
   * Creates an allowance.
   *
   * @param ratio the number of retries that each request allows
   * @param slack the current fixed number of retries per window, independent of requests
   * @param windowNanos the length of the window
   */
  public RetryAllowance(double ratio, DoubleSupplier slack, long windowNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.bucketNanos = Math.max(1, windowNanos / (BUCKETS - 1));
  }

  /**
   * Counts a request when it is sent for the first time.
   *
   * @param nowNanos the current time
   */
  public void onRequest(long nowNanos) {
    requests[advance(nowNanos)]++;
  }

  /**
   * Counts a retry if the window allows another one.
   *
   * @param nowNanos the current time
   * @return false if no retry is left in the window
   */
  public boolean tryRetry(long nowNanos) {
    int bucket = advance(nowNanos);
    double earned = ratio * (1 - RESERVED_SHARE) * requestsWithinWindow();
    if (sum(retries) + 1 > earned + slack.getAsDouble()) {
      return false;
    }
    retries[bucket]++;
    return true;
  }

  private int advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    long firstStale = Math.max(currentBucket + 1, bucket - BUCKETS + 1);
    for (long stale = firstStale; stale <= bucket; stale++) {
      int index = (int) Math.floorMod(stale, (long) BUCKETS);
      requests[index] = 0;
      retries[index] = 0;
    }
    currentBucket = Math.max(currentBucket, bucket);
    return (int) Math.floorMod(currentBucket, (long) BUCKETS);
  }

  /**
   * Returns the requests without those of the oldest bucket, which is partly older than the window.
   * The retries of that bucket count, so that no window has more than its requests allow.
   */
  private int requestsWithinWindow() {
    int oldest = (int) Math.floorMod(currentBucket + 1, (long) BUCKETS);
    return sum(requests) - requests[oldest];
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }
}
