package io.snipeloom.spend;

/**
 * How many tokens an instance claims ahead.
 *
 * @param horizonSeconds the time for which the tokens in hand should last, so that requests are
 *     served through an outage of the store, in seconds
 * @param fleetSize the instances that claim from the same totals
 */
public record ClaimPolicy(double horizonSeconds, int fleetSize) {
  /** The share of the unclaimed tokens that the fleet takes ahead together. */
  private static final double FLEET_SHARE = 0.5;

  /** Checks the bounds. */
  public ClaimPolicy {
    if (horizonSeconds <= 0 || fleetSize < 1) {
      throw new IllegalArgumentException("horizon and fleet size must be positive");
    }
  }

  /**
   * Returns the tokens that an instance should have in hand.
   *
   * @param tokensPerSecond the recent use
   * @param unclaimed the tokens that nobody has claimed
   * @param available the tokens in hand
   * @return the tokens
   */
  public long target(double tokensPerSecond, long unclaimed, long available) {
    double fairShare = FLEET_SHARE * (unclaimed + (double) available) / fleetSize;
    return (long) Math.min(tokensPerSecond * horizonSeconds, fairShare);
  }

  /**
   * Returns whether tokens in hand are so few that more should be claimed.
   *
   * @param available the tokens in hand
   * @param target the tokens that should be in hand
   * @return true if more should be claimed
   */
  public boolean isLow(long available, long target) {
    return available < target * 3 / 4;
  }
}
