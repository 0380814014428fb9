package io.snipeloom.coordination;

import io.snipeloom.state.SpendPolicy;
import java.util.concurrent.TimeUnit;

/**
 * Computes the sizes of claims and returns from the recent rate of consumption and the last known
 * size of the pool.
 *
 * <p>The target of a holder is what it will consume within the horizon of the spend policy at the
 * recent rate, but at most a fixed fraction of the sum of the pool and its own tokens. The share of
 * each holder thus shrinks as the pool empties, and holders with equal need hold equal shares.
 * Stateless and thread-safe.
 */
final class ClaimPolicy {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double MIN_RATE_WINDOW_SECONDS = 30;
  private static final double RATE_WINDOW_PER_HORIZON = 0.1;
  private static final double RECALL_KEEP_SECONDS = 1;
  private static final double TARGET_PER_HORIZON = 1.3;
  private static final double REFILL_BELOW_SHARE = 1 / TARGET_PER_HORIZON;
  private static final double RETURN_ABOVE_SHARE = 2;
  private static final long FIRST_CLAIM_FACTOR = 4;
  private static final long MAX_CLAIM_TOKENS = 1L << 52;

  private ClaimPolicy() {}

  /**
   * Returns the exponentially weighted rate of consumption after an interval, in tokens per second.
   */
  static double rate(SpendPolicy policy, double oldRate, long consumed, long elapsedNanos) {
    double seconds = elapsedNanos / NANOS_PER_SECOND;
    double window =
        Math.max(MIN_RATE_WINDOW_SECONDS, policy.horizon().toSeconds() * RATE_WINDOW_PER_HORIZON);
    double weight = 1 - Math.exp(-seconds / window);
    return oldRate + weight * (consumed / seconds - oldRate);
  }

  /** Returns the target number of tokens of a holder, given the pool and its remaining tokens. */
  static long target(SpendPolicy policy, double rate, long pool, long remaining) {
    long share = (pool + remaining) / policy.poolDivisor();
    return Math.min(tokensForHorizon(policy, rate), share);
  }

  /**
   * Returns the tokens to claim; 0 if no claim is needed. If tokens are missing, the claim asks for
   * several times as many, limited by the holder's share of the pool but never for fewer than are
   * missing.
   */
  static long claim(SpendPolicy policy, double rate, long pool, long remaining, long needed) {
    long target = target(policy, rate, pool, remaining);
    boolean belowRefillLevel = remaining < target * REFILL_BELOW_SHARE;
    long refill = belowRefillLevel ? Math.min(target - remaining, pool) : 0;
    if (needed <= 0) {
      return refill;
    }
    long initialClaim =
        Math.min(needed * FIRST_CLAIM_FACTOR, (pool + remaining) / policy.poolDivisor());
    return Math.min(MAX_CLAIM_TOKENS, Math.max(needed, Math.max(initialClaim, refill)));
  }

  /**
   * Returns the tokens that a holder returns because it does not need them; all of them if it is
   * idle.
   */
  static long surplus(SpendPolicy policy, double rate, long remaining, boolean idle) {
    if (idle) {
      return remaining;
    }
    long needed = tokensForHorizon(policy, rate);
    return remaining > needed * RETURN_ABOVE_SHARE ? remaining - needed : 0;
  }

  /**
   * Returns the tokens that a holder returns when another one lacks tokens. The holder keeps what
   * it needs immediately, rounded down to a multiple of a typical reservation, since a smaller
   * remainder is of no use to any request.
   */
  static long tokensForRecall(double rate, long remaining, long typicalReservation, long missing) {
    long unit = Math.max(1, typicalReservation);
    long immediateNeed = Math.min(remaining, (long) (rate * RECALL_KEEP_SECONDS));
    long surplus = remaining - immediateNeed / unit * unit;
    return Math.min(surplus, Math.max(missing, surplus / 2));
  }

  private static long tokensForHorizon(SpendPolicy policy, double rate) {
    return (long)
        Math.min(MAX_CLAIM_TOKENS, rate * policy.horizon().toSeconds() * TARGET_PER_HORIZON);
  }
}
