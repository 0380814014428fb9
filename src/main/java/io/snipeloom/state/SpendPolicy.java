package io.snipeloom.state;

import java.time.Duration;

/**
 * Weighs stranded tokens against false refusals when a router sizes its claim on a budget.
 *
 * <p>Neither policy can overspend: spending is always inside a claim that the log has granted.
 */
public enum SpendPolicy {
  /** Small claims: few tokens are stranded by a failure, a partition is survived for minutes. */
  TIGHT(Duration.ofMinutes(1), 16),
  /** Large claims: a partition is survived for an hour, a failure strands more tokens. */
  AVAILABLE(Duration.ofHours(1), 4);

  private final Duration horizon;
  private final int poolDivisor;

  SpendPolicy(Duration horizon, int poolDivisor) {
    this.horizon = horizon;
    this.poolDivisor = poolDivisor;
  }

  /**
   * Returns the time for which a claim should last at the recent rate of spending.
   *
   * @return the horizon
   */
  public Duration horizon() {
    return horizon;
  }

  /**
   * Returns the divisor of the pool that bounds one claim.
   *
   * @return the divisor, at least 1
   */
  public int poolDivisor() {
    return poolDivisor;
  }
}
