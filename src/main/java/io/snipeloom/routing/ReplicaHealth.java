package io.snipeloom.routing;

/**
 * How a replica has behaved lately towards this instance.
 *
 * <p>After failures to connect or silence, a replica gets no work for a time that doubles with each
 * further failure. Error answers only make it less attractive. Not thread-safe.
 */
public final class ReplicaHealth {
  /** The first pause after a failure. */
  private static final long FIRST_PAUSE_NANOS = 500_000_000L;

  /** The longest pause; a replica that crashed is back within seconds. */
  private static final long LONGEST_PAUSE_NANOS = 4_000_000_000L;

  private static final double ERROR_WEIGHT = 0.1;

  private long pauseNanos;
  private long pausedUntilNanos = Long.MIN_VALUE;
  private double errorShare;

  /**
   * Takes note of an answer.
   *
   * @param success whether the replica ran the request without an error of its own
   */
  public void onAnswer(boolean success) {
    pauseNanos = 0;
    pausedUntilNanos = Long.MIN_VALUE;
    errorShare += ERROR_WEIGHT * ((success ? 0 : 1) - errorShare);
  }

  /**
   * Takes note that the replica did not accept a connection or fell silent.
   *
   * @param nowNanos the time
   */
  public void onUnreachable(long nowNanos) {
    if (isPaused(nowNanos)) {
      return;
    }
    pauseNanos = Math.min(LONGEST_PAUSE_NANOS, Math.max(FIRST_PAUSE_NANOS, pauseNanos * 2));
    pausedUntilNanos = nowNanos + pauseNanos;
  }

  /** Takes note that an open request broke off, which counts as an error. */
  public void onBroken() {
    errorShare += ERROR_WEIGHT * (1 - errorShare);
  }

  /**
   * Returns whether the replica should get no work for now.
   *
   * @param nowNanos the time
   * @return true during a pause
   */
  public boolean isPaused(long nowNanos) {
    return pausedUntilNanos != Long.MIN_VALUE && nowNanos - pausedUntilNanos < 0;
  }

  /**
   * Returns the recent share of failed requests.
   *
   * @return the share, 0 to 1
   */
  public double errorShare() {
    return errorShare;
  }
}
