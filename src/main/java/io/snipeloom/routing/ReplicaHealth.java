package io.snipeloom.routing;

/**
 * The recent behaviour of a replica towards this instance.
 *
 * <p>A replica that refuses a connection or stays silent gets no requests during a backoff that
 * doubles with each further failure. Error responses only make it less likely to be chosen. Not
 * thread-safe.
 */
public final class ReplicaHealth {
  /** The backoff after the first failure. */
  private static final long INITIAL_BACKOFF_NANOS = 500_000_000L;

  /** The upper bound of the backoff; a replica that crashed is back within seconds. */
  private static final long MAX_BACKOFF_NANOS = 4_000_000_000L;

  private static final double ERROR_SMOOTHING = 0.1;

  private long backoffNanos;
  private long backoffUntilNanos = Long.MIN_VALUE;
  private double errorShare;

  /**
   * Records a response and ends the backoff.
   *
   * @param success false if the replica failed to serve the request; true if it served the request
   *     or stated that it did not execute it
   */
  public void onResponse(boolean success) {
    backoffNanos = 0;
    backoffUntilNanos = Long.MIN_VALUE;
    errorShare += ERROR_SMOOTHING * ((success ? 0 : 1) - errorShare);
  }

  /**
   * Records that the replica did not accept a connection or exceeded the silence timeout.
   *
   * @param nowNanos the current time
   */
  public void onUnreachable(long nowNanos) {
    if (isBackingOff(nowNanos)) {
      return;
    }
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, Math.max(INITIAL_BACKOFF_NANOS, backoffNanos * 2));
    backoffUntilNanos = nowNanos + backoffNanos;
  }

  /** Records that the connection of a pending request failed, which counts as an error. */
  public void onConnectionLost() {
    errorShare += ERROR_SMOOTHING * (1 - errorShare);
  }

  /**
   * Returns whether the replica should get no requests for now.
   *
   * @param nowNanos the current time
   */
  public boolean isBackingOff(long nowNanos) {
    return backoffUntilNanos != Long.MIN_VALUE && nowNanos - backoffUntilNanos < 0;
  }

  /** Returns the recent fraction of failed requests, from 0 to 1. */
  public double errorShare() {
    return errorShare;
  }
}
