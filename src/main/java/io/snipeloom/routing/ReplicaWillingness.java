package io.snipeloom.routing;

/**
 * What a replica said in its answers about taking further requests from this instance: that it is
 * leaving, or that it wants none for some time.
 *
 * <p>Both hold for one incarnation of the replica, whatever its registry entry says. Not
 * thread-safe.
 */
public final class ReplicaWillingness {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private boolean leaving;
  private boolean pausing;
  private long pauseEndNanos;

  /**
   * Records that the replica is leaving, which is final.
   *
   * @return true if it is the first time that it says so
   */
  public boolean onLeaving() {
    boolean first = !leaving;
    leaving = true;
    return first;
  }

  /**
   * Records that the replica wants no request for some time. The latest end of several holds.
   *
   * @param pause what it said
   * @param nowNanos the current time
   */
  public void onPause(StatedPause pause, long nowNanos) {
    if (pause.kind() != StatedPause.Kind.STATED) {
      return;
    }
    long endNanos = nowNanos + pause.millis() * NANOS_PER_MILLI;
    if (!pausing || endNanos - pauseEndNanos > 0) {
      pausing = true;
      pauseEndNanos = endNanos;
    }
  }

  /** Returns whether the replica said that it is leaving. */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns how long the replica wants no request, in milliseconds; 0 if it takes requests.
   *
   * @param nowNanos the current time
   */
  public long pauseMillis(long nowNanos) {
    long remainingNanos = pauseEndNanos - nowNanos;
    return pausing && remainingNanos > 0
        ? (remainingNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI
        : 0;
  }

  /**
   * Returns whether the replica takes a request now.
   *
   * @param nowNanos the current time
   */
  public boolean takesRequests(long nowNanos) {
    return !leaving && pauseMillis(nowNanos) == 0;
  }
}
