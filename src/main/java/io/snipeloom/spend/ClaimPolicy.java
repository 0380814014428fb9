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
  private static final double FLEET_SHARE = 0.4;

  /** An instance of whose use little is known yet takes this share of what is left. */
  private static final double FIRST_SHARE = 0.02;

  /**
   * The share of a prepaid total that one instance holds at most; what it holds is lost if it is
   * killed.
   */
  private static final double HAND_SHARE = 0.15;

  /** A surplus below this share of the prepaid total stays in hand. */
  private static final double SURPLUS_SHARE = 0.007;

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
   * @param useShare the share of this instance in what was claimed lately, 0 to 1
   * @param unclaimed the tokens that nobody has claimed
   * @param available the tokens in hand
   * @param limit the prepaid total
   * @return the tokens
   */
  public long target(
      double tokensPerSecond, double useShare, long unclaimed, long available, long limit) {
    if (horizonSeconds == 0) {
      return 0;
    }
    double left = unclaimed + (double) available;
    double share =
        Math.max(useShare, FIRST_SHARE) * Math.min(FLEET_SHARE * left, HAND_SHARE * limit);
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

  /**
   * Returns the tokens in hand that other instances need more, such as those of callers that went
   * over to another instance.
   *
   * @param available the tokens in hand
   * @param target the tokens that should be in hand
   * @param limit the prepaid total
   * @return the tokens to return, 0 if they are too few to be worth a write
   */
  public long surplus(long available, long target, long limit) {
    long surplus = available - target * 2;
    return surplus > limit * SURPLUS_SHARE ? surplus : 0;
  }
}
