package io.snipeloom.routing;

/**
 * By how much the requests a second to a cold replica may exceed the rate that it tolerates, over
 * all instances together. Immutable.
 *
 * @param overshoot the factor on the rate, at least 1
 * @param slack the requests beside it, at least 0
 */
public record ColdStartBounds(double overshoot, double slack) {

  /** Checks the ranges. */
  public ColdStartBounds {
    if (!(overshoot >= 1) || !(slack >= 0)) {
      throw new IllegalArgumentException("invalid bounds: " + overshoot + ", " + slack);
    }
  }

  /**
   * Returns the most requests that may arrive in a second.
   *
   * @param perSecond the rate that the replica tolerates
   */
  public double maxPerSecond(double perSecond) {
    return perSecond * overshoot + slack;
  }
}
