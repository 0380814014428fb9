package io.snipeloom.spend;

/**
 * Determines how many tokens an instance claims ahead of demand.
 *
 * @param horizonSeconds how long the available tokens should last, in seconds, so that requests are
 *     served during an outage of the store; 0 to claim only what requests need
 * @param fleetSize the number of instances that claim from the same prepaid totals, at least 1
 */
public record ClaimPolicy(double horizonSeconds, int fleetSize) {
  /** The share of the remaining tokens that all instances together may claim ahead. */
  private static final double FLEET_CLAIM_SHARE = 0.4;

  /**
   * The smallest share of the recent claims that is assumed for an instance. An instance whose
   * usage rate is low or unknown also wants to hold this share of the remaining tokens, divided by
   * the fleet size.
   */
  private static final double INITIAL_SHARE = 0.02;

  /**
   * The largest share of a prepaid total that one instance may target. The bound limits the loss
   * when an instance is killed, because the tokens that it holds may be lost.
   */
  private static final double MAX_INSTANCE_SHARE = 0.15;

  /** A surplus of at most this share of the prepaid total is not worth a write and is kept. */
  private static final double MIN_SURPLUS_SHARE = 0.007;

  /**
   * The smallest share of its available tokens that an instance returns. While its target falls, it
   * returns them in a few writes, with each of which the claims of others may conflict.
   */
  private static final double MIN_RETURNED_SHARE = 0.1;

  /** The largest share of the prepaid total that all instances together keep in this way. */
  private static final double MAX_FLEET_SURPLUS_SHARE = 0.03;

  /** Validates the horizon and the fleet size. */
  public ClaimPolicy {
    if (horizonSeconds < 0 || fleetSize < 1) {
      throw new IllegalArgumentException(
          "horizon must not be negative and fleet size must be positive");
    }
  }

  /**
   * Returns the number of available tokens that an instance should hold.
   *
   * <p>The callers of a customer often reach the fleet through a single instance. The remaining
   * tokens are therefore divided in proportion to recent claims instead of evenly.
   *
   * @param role for whom this instance claims
   * @param tokensPerSecond the recent usage rate of this instance
   * @param fleetTokensPerSecond the recent claims of all instances
   * @param claimShare the share of this instance in the recent claims of all instances, 0 to 1
   * @param unclaimed the tokens that no instance has claimed
   * @param available the claimed tokens of this instance that are neither reserved nor spent
   * @param limit the prepaid total
   * @return the target, in tokens; 0 if the horizon is 0
   */
  long target(
      ClaimRole role,
      double tokensPerSecond,
      double fleetTokensPerSecond,
      double claimShare,
      long unclaimed,
      long available,
      long limit) {
    if (horizonSeconds == 0) {
      return 0;
    }
    double remaining = unclaimed + (double) available;
    double share =
        role.share(claimShare, INITIAL_SHARE)
            * Math.min(FLEET_CLAIM_SHARE * remaining, MAX_INSTANCE_SHARE * limit);
    double demand = role.demand(tokensPerSecond, fleetTokensPerSecond);
    double wanted = Math.max(demand * horizonSeconds, INITIAL_SHARE * remaining / fleetSize);
    return (long) Math.min(wanted, share);
  }

  /**
   * Returns whether the available tokens have fallen below three quarters of the target, so that
   * more should be claimed.
   *
   * @param available the available tokens of this instance
   * @param target the target returned by {@link #target}
   * @return true if more should be claimed
   */
  public boolean isLow(long available, long target) {
    return available < target * 3 / 4;
  }

  /**
   * Returns the available tokens beyond twice the target, which should go back to the ledger for
   * other instances. A surplus arises, for example, when callers move to another instance.
   *
   * @param available the available tokens of this instance
   * @param target the target returned by {@link #target}
   * @param limit the prepaid total
   * @return the tokens to return; 0 if they are too few to be worth a write
   */
  public long surplus(long available, long target, long limit) {
    long surplus = available - target * 2;
    double kept = Math.min(MIN_SURPLUS_SHARE, MAX_FLEET_SURPLUS_SHARE / fleetSize);
    boolean worthWrite = surplus > limit * kept && surplus >= available * MIN_RETURNED_SHARE;
    return worthWrite ? surplus : 0;
  }
}
