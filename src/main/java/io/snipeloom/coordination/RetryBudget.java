package io.snipeloom.coordination;

import java.util.function.LongSupplier;

/**
 * Limits the retries to an upstream to a fraction of its first attempts, so that retries cannot
 * multiply the load during an outage.
 *
 * <p>Thread-safe. All requests of a router to one upstream share one retry budget.
 */
public final class RetryBudget {
  /** The number of retries added to the budget by each first attempt. */
  static final double RETRIES_PER_FIRST_ATTEMPT = 0.05;

  /** The number of retries added to the budget per second, also without traffic. */
  static final double MIN_RETRIES_PER_SECOND = 0.02;

  /** The maximum number of retries in the budget. */
  static final double BURST = 10;

  private static final double NANOS_PER_SECOND = 1e9;

  private final LongSupplier nanoClock;
  private double available = BURST;
  private long lastNanos;

  private RetryBudget(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    this.lastNanos = nanoClock.getAsLong();
  }

  /**
   * Returns a budget that holds {@link #BURST} retries.
   *
   * @param nanoClock a monotonic clock in nanoseconds
   */
  public static RetryBudget of(LongSupplier nanoClock) {
    return new RetryBudget(nanoClock);
  }

  /** Counts the first attempt of a request. */
  public synchronized void onFirstAttempt() {
    add(RETRIES_PER_FIRST_ATTEMPT);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false if the budget is exhausted and the request must not be retried
   */
  public synchronized boolean tryRetry() {
    long now = nanoClock.getAsLong();
    add(MIN_RETRIES_PER_SECOND * (now - lastNanos) / NANOS_PER_SECOND);
    lastNanos = now;
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }

  private void add(double retries) {
    available = Math.min(BURST, available + retries);
  }
}
