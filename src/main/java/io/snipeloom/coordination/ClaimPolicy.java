package io.snipeloom.coordination;

import io.snipeloom.state.SpendPolicy;
import java.util.concurrent.TimeUnit;

/**
 * Sizes claims and returns from the recent rate of spending and what the log shows of the pool.
 *
 * <p>A holder aims to hold what the horizon of the spend policy takes at the recent rate, but at
 * most a fraction of the pool and its own tokens together; so the share of each holder shrinks as
 * the pool empties, and holders of equal need hold equal shares. Pure and thread-safe.
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

  /** Returns the rate after an interval in which tokens were consumed, in tokens per second. */
  static double rate(SpendPolicy policy, double oldRate, long consumed, long elapsedNanos) {
    double seconds = elapsedNanos / NANOS_PER_SECOND;
    double window =
        Math.max(MIN_RATE_WINDOW_SECONDS, policy.horizon().toSeconds() * RATE_WINDOW_PER_HORIZON);
    double weight = 1 - Math.exp(-seconds / window);
    return oldRate + weight * (consumed / seconds - oldRate);
  }

  /** Returns the tokens that a holder aims to hold, given the pool and what it has left. */
  static long target(SpendPolicy policy, double rate, long pool, long remaining) {
    long share = (pool + remaining) / policy.poolDivisor();
    return Math.min(byHorizon(policy, rate), share);
  }

  /** Returns the tokens to claim; 0 for none. */
  static long claim(SpendPolicy policy, double rate, long pool, long remaining, long needed) {
    long target = target(policy, rate, pool, remaining);
    boolean low = remaining < target * REFILL_BELOW_SHARE;
    long refill = low ? Math.min(target - remaining, pool) : 0;
    if (needed <= 0) {
      return refill;
    }
    long start = Math.min(needed * FIRST_CLAIM_FACTOR, (pool + remaining) / policy.poolDivisor());
    return Math.min(MAX_CLAIM_TOKENS, Math.max(needed, Math.max(start, refill)));
  }

  /** Returns the tokens that a holder gives back of its own accord. */
  static long surplus(SpendPolicy policy, double rate, long remaining, boolean idle) {
    if (idle) {
      return remaining;
    }
    long wanted = byHorizon(policy, rate);
    return remaining > wanted * RETURN_ABOVE_SHARE ? remaining - wanted : 0;
  }

  /**
   * Returns the tokens that a holder gives back when another one lacks tokens. It keeps what it
   * needs at once, in multiples of a usual reservation, since a smaller rest serves no request.
   */
  static long recalled(double rate, long remaining, long usualReservation, long missing) {
    long unit = Math.max(1, usualReservation);
    long atOnce = Math.min(remaining, (long) (rate * RECALL_KEEP_SECONDS));
    long surplus = remaining - atOnce / unit * unit;
    return Math.min(surplus, Math.max(missing, surplus / 2));
  }

  private static long byHorizon(SpendPolicy policy, double rate) {
    return (long)
        Math.min(MAX_CLAIM_TOKENS, rate * policy.horizon().toSeconds() * TARGET_PER_HORIZON);
  }
}
