package io.snipeloom.routing;

/**
 * How the replicas of a service are after a start: how long they are cold, and what they tolerate
 * meanwhile. Immutable.
 *
 * @param millis how long a replica is cold after a start, in milliseconds
 * @param perSecond the requests a second that a cold replica tolerates
 * @param mostPerSecond the requests that all instances together may send to it in any second
 */
public record ColdStart(long millis, double perSecond, double mostPerSecond) {
  /** A replica that is never cold. */
  public static final ColdStart NONE = new ColdStart(0, Double.POSITIVE_INFINITY);

  /** The time for which a replica is cold where the configured one cannot be read. */
  private static final long DEFAULT_MILLIS = 10_000;

  /** A longer time cannot be meant. */
  private static final long MAX_MILLIS = 600_000;

  /** A higher rate is no restriction for a replica. */
  private static final int MAX_WHOLE_PER_SECOND = 1_000_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Checks the ranges. */
  public ColdStart {
    if (millis < 0 || !(perSecond >= 0) || !(mostPerSecond >= 0)) {
      throw new IllegalArgumentException("invalid cold start: " + millis + ", " + perSecond);
    }
  }

  private ColdStart(long millis, double perSecond) {
    this(millis, perSecond, perSecond);
  }

  /**
   * Returns what a configuration says, 0 and 0 meaning that replicas are never cold. Values that
   * cannot be meant are read as a long time and as the lowest rate.
   *
   * @param seconds how long a replica is cold, in seconds
   * @param perSecond the requests a second that it tolerates
   */
  public static ColdStart of(double seconds, double perSecond) {
    if (seconds == 0 && perSecond == 0) {
      return NONE;
    }
    double millis = seconds * MILLIS_PER_SECOND;
    boolean meant = millis >= 0 && millis <= MAX_MILLIS;
    boolean readable = perSecond >= 0 && Double.isFinite(perSecond);
    return new ColdStart(meant ? (long) millis : DEFAULT_MILLIS, readable ? perSecond : 0);
  }

  /** Returns whether the bound on requests to cold replicas holds. */
  public boolean isBounded() {
    return Double.isFinite(perSecond);
  }

  /**
   * Returns the same with the bounds of the settings.
   *
   * @param bounds by how much the requests may exceed what a replica tolerates
   */
  public ColdStart with(ColdStartBounds bounds) {
    return isBounded() ? new ColdStart(millis, perSecond, bounds.maxPerSecond(perSecond)) : this;
  }

  /**
   * Returns the requests that all instances together send to a cold replica in any second. It is
   * what the replica tolerates, one at least if the bound allows that; what the bound allows beyond
   * it remains for requests that arrive late.
   */
  int wholePerSecond() {
    double whole = Math.min(Math.max(1, Math.floor(perSecond)), Math.floor(mostPerSecond));
    return (int) Math.min(whole, MAX_WHOLE_PER_SECOND);
  }
}
