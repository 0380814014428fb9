package io.snipeloom.spend;

/**
 * How many tokens an instance claims ahead.
 *
 * @param horizonSeconds the time for which the tokens in hand should last, so that requests are
 *     served through an outage of the store, in seconds; 0 to claim only what requests need
 * @param fleetSize the instances that claim from the same totals
 */
public record ClaimPolicy(double horizonSeconds, int fleetSize) {
  /** The share of the tokens that are left which the fleet takes ahead together. */
  private static final double FLEET_SHARE = 0.6;

  /** An instance of whose use little is known yet takes this share of what is left. */
  private static final double FIRST_SHARE = 0.02;

  /** Checks the bounds. */
  public ClaimPolicy {
    if (horizonSeconds < 0 || fleetSize < 1) {
      throw new IllegalArgumentException("horizon must not be negative and fleet size positive");
    }
  }

  /**
   * Returns the tokens that an instance should have in hand.
   *
   * <p>Callers of a customer often reach the fleet through one instance, so the tokens that are
   * left are shared by use and not evenly.
   *
   * @param tokensPerSecond the recent use of this instance
   * @param useShare the share of this instance in all that was claimed, 0 to 1
   * @param unclaimed the tokens that nobody has claimed
   * @param available the tokens in hand
   * @return the tokens
   */
  public long target(double tokensPerSecond, double useShare, long unclaimed, long available) {
    if (horizonSeconds == 0) {
      return 0;
    }
    double left = unclaimed + (double) available;
    double share = Math.max(useShare, FIRST_SHARE) * FLEET_SHARE * left;
    double wanted = Math.max(tokensPerSecond * horizonSeconds, FIRST_SHARE * left / fleetSize);
    return (long) Math.min(wanted, share);
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
