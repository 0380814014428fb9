package io.snipeloom.coordination;

import java.util.function.LongSupplier;

/**
 * Bounds the retries to an upstream to a share of its first attempts, so that retries cannot
 * multiply the load of an outage.
 *
 * <p>Thread-safe. All requests of a router to one upstream share one budget.
 */
public final class RetryBudget {
  /** The retries that each first attempt earns. */
  static final double RATIO = 0.05;

  /** The retries earned per second without any traffic. */
  static final double MIN_PER_SECOND = 0.02;

  /** The most retries that can be saved up. */
  static final double BURST = 10;

  private static final double NANOS_PER_SECOND = 1e9;

  private final LongSupplier nanoClock;
  private double saved = BURST;
  private long lastNanos;

  private RetryBudget(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    this.lastNanos = nanoClock.getAsLong();
  }

  /**
   * Returns a full budget.
   *
   * @param nanoClock the clock in nanoseconds
   * @return the budget
   */
  public static RetryBudget of(LongSupplier nanoClock) {
    return new RetryBudget(nanoClock);
  }

  /** Counts the first attempt of a request. */
  public synchronized void onFirstAttempt() {
    earn(RATIO);
  }

  /**
   * Takes one retry.
   *
   * @return false if the budget is spent and the request must not be retried
   */
  public synchronized boolean tryRetry() {
    long now = nanoClock.getAsLong();
    earn(MIN_PER_SECOND * (now - lastNanos) / NANOS_PER_SECOND);
    lastNanos = now;
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }

  private void earn(double retries) {
    saved = Math.min(BURST, saved + retries);
  }
}
