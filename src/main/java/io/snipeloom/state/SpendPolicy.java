package io.snipeloom.state;

import java.time.Duration;

/**
 * Determines how large the claims of routers on a budget are. Larger claims let a router serve
 * requests for longer without access to the log, but strand more tokens if the router fails.
 *
 * <p>Neither policy allows overspending: a router spends only from claims that the log has granted.
 */
public enum SpendPolicy {
  /** Small claims: a failure strands few tokens, but a partition is bridged for minutes only. */
  TIGHT(Duration.ofMinutes(1), 16),
  /** Large claims: a partition is bridged for an hour, but a failure strands more tokens. */
  AVAILABLE(Duration.ofHours(1), 4);

  private final Duration horizon;
  private final int poolDivisor;

  SpendPolicy(Duration horizon, int poolDivisor) {
    this.horizon = horizon;
    this.poolDivisor = poolDivisor;
  }

  /** Returns the time for which a claim is meant to last at the recent spending rate. */
  public Duration horizon() {
    return horizon;
  }

  /**
   * Returns the divisor that limits the target of a router: it aims to hold at most the unclaimed
   * tokens of the budget and its own tokens, divided by this number.
   *
   * @return the divisor, at least 1
   */
  public int poolDivisor() {
    return poolDivisor;
  }
}
