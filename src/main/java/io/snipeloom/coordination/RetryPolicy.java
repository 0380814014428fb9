package io.snipeloom.coordination;

import io.snipeloom.state.RunState;
import io.snipeloom.state.Urgency;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides whether and when a failed attempt is followed by another.
 *
 * <p>Thread-safe. A call that may not be repeated is sent again only if it provably did not run.
 */
public final class RetryPolicy {
  /** The attempts of one request, the first included. */
  static final int MAX_ATTEMPTS = 4;

  /** The most that the first delay can be. */
  static final Duration FIRST_DELAY = Duration.ofMillis(20);

  /** The most that any delay can be, unless the back end asks for more. */
  static final Duration MAX_DELAY = Duration.ofSeconds(2);

  /** Why a retry was refused, or that it was allowed. */
  public enum Verdict {
    RETRY,
    NOT_SAFE,
    TOO_MANY_ATTEMPTS,
    DEADLINE,
    BUDGET_SPENT
  }

  /**
   * A decision.
   *
   * @param verdict the verdict
   * @param delay the time to wait before the retry; zero unless the verdict is to retry
   */
  public record Decision(Verdict verdict, Duration delay) {

    /**
     * Returns whether the request is to be sent again.
     *
     * @return true if so
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
   * @param attempts the attempts made so far, at least 1
   * @param urgency the urgency of the request
   * @param runState whether the failed attempt ran
   * @param retryAfterMillis the delay that the back end asked for, in milliseconds; 0 if none
   * @param answerStarted whether a part of an answer was passed on to the caller
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
   * @param budget the budget shared by the requests to one upstream
   * @return the policy
   */
  public static RetryPolicy of(RetryBudget budget) {
    return new RetryPolicy(budget);
  }

  /**
   * Decides on a failed attempt, and takes a retry from the budget if it allows one.
   *
   * @param failure the failed attempt
   * @param nowNanos the present time in nanoseconds
   * @param deadlineNanos the deadline of the request in nanoseconds
   * @param random the source of jitter
   * @return the decision
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
    long most = Math.min(FIRST_DELAY.toMillis() << doublings, MAX_DELAY.toMillis());
    long jittered = random.nextLong(most + 1);
    return Duration.ofMillis(failure.retryAfterMillis() + jittered);
  }
}
