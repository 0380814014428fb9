package io.snipeloom.coordination;

import io.snipeloom.state.RunState;
import io.snipeloom.state.Urgency;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides whether and after which delay a failed attempt is retried.
 *
 * <p>Thread-safe. A request that is not repeatable is retried only if the failed attempt is known
 * not to have run.
 */
public final class RetryPolicy {
  /** The maximum number of attempts of one request, including the first. */
  static final int MAX_ATTEMPTS = 4;

  /** The upper bound of the first delay; it doubles with each further attempt. */
  static final Duration FIRST_DELAY = Duration.ofMillis(20);

  /** The upper bound of any delay, before the delay that the back end asked for is added. */
  static final Duration MAX_DELAY = Duration.ofSeconds(2);

  /** Whether a retry is allowed, and otherwise the reason for its refusal. */
  public enum Verdict {
    RETRY,
    NOT_SAFE,
    TOO_MANY_ATTEMPTS,
    DEADLINE,
    BUDGET_SPENT
  }

  /**
   * The decision on a failed attempt.
   *
   * @param verdict whether to retry, and otherwise why not
   * @param delay the time to wait before the retry; zero unless the verdict is {@link
   *     Verdict#RETRY}
   */
  public record Decision(Verdict verdict, Duration delay) {

    /**
     * Returns whether the request is to be retried.
     *
     * @return true if the verdict is {@link Verdict#RETRY}
     */
    public boolean isRetry() {
      return verdict == Verdict.RETRY;
    }

    private static Decision refused(Verdict verdict) {
      return new Decision(verdict, Duration.ZERO);
    }
  }

  /**
   * A failed attempt.
   *
   * @param attempts the number of attempts made so far, at least 1
   * @param urgency the urgency of the request
   * @param runState whether the failed attempt ran
   * @param retryAfterMillis the delay that the back end asked for, in milliseconds; 0 if none
   * @param answerStarted whether a part of the answer was already forwarded to the caller
   */
  public record Failure(
      int attempts,
      Urgency urgency,
      RunState runState,
      long retryAfterMillis,
      boolean answerStarted) {}

  private final RetryBudget budget;

  private RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /**
   * Returns a policy.
   *
   * @param budget the retry budget shared by all requests to one upstream
   */
  public static RetryPolicy of(RetryBudget budget) {
    return new RetryPolicy(budget);
  }

  /**
   * Decides on a failed attempt and, if it is to be retried, takes one retry from the retry budget.
   *
   * @param nowNanos the current time in nanoseconds
   * @param deadlineNanos the deadline of the request in nanoseconds
   * @param random the source of jitter
   */
  public Decision decide(
      Failure failure, long nowNanos, long deadlineNanos, RandomGenerator random) {
    if (!isSafe(failure)) {
      return Decision.refused(Verdict.NOT_SAFE);
    }
    if (failure.attempts() >= MAX_ATTEMPTS) {
      return Decision.refused(Verdict.TOO_MANY_ATTEMPTS);
    }
    Duration delay = delay(failure, random);
    if (deadlineNanos - nowNanos <= delay.toNanos()) {
      return Decision.refused(Verdict.DEADLINE);
    }
    if (!budget.tryRetry()) {
      return Decision.refused(Verdict.BUDGET_SPENT);
    }
    return new Decision(Verdict.RETRY, delay);
  }

  private static boolean isSafe(Failure failure) {
    if (failure.answerStarted()) {
      return false;
    }
    return failure.runState() == RunState.NOT_RUN || failure.urgency().isRepeatable();
  }

  private static Duration delay(Failure failure, RandomGenerator random) {
    int doublings = Math.min(failure.attempts() - 1, 10);
    long maxMillis = Math.min(FIRST_DELAY.toMillis() << doublings, MAX_DELAY.toMillis());
    long jitterMillis = random.nextLong(maxMillis + 1);
    return Duration.ofMillis(failure.retryAfterMillis() + jitterMillis);
  }
}
