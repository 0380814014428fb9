package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.snipeloom.state.RunState;
import io.snipeloom.state.Urgency;
import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
  private static final long DEADLINE_NANOS = 60 * VirtualClock.SECOND;

  private static RetryPolicy policy() {
    return RetryPolicy.of(RetryBudget.of(new VirtualClock()));
  }

  private static RetryPolicy.Failure failure(int attempts, Urgency urgency, RunState state) {
    return new RetryPolicy.Failure(attempts, urgency, state, 0, false);
  }

  @Property(seed = "7")
  void nonRepeatableCallIsRetriedOnlyIfProvenNotRun(
      @ForAll RunState state,
      @ForAll @IntRange(min = 1, max = 5) int attempts,
      @ForAll @IntRange(max = 5_000) int retryAfter,
      @ForAll long seed) {
    RetryPolicy.Failure failure =
        new RetryPolicy.Failure(attempts, Urgency.NOT_REPEATABLE, state, retryAfter, false);
    RetryPolicy.Decision decision =
        policy().decide(failure, 0, DEADLINE_NANOS, new SplittableRandom(seed));
    if (state != RunState.NOT_RUN) {
      assertThat(decision.verdict(), is(RetryPolicy.Verdict.NOT_SAFE));
    }
  }

  @Property(seed = "7")
  void neverRetriesPastDeadlineAndHonoursRetryAfter(
      @ForAll @IntRange(min = 1, max = 3) int attempts,
      @ForAll @IntRange(max = 5_000) int retryAfter,
      @ForAll @IntRange(max = 5_000) int remaining,
      @ForAll long seed) {
    RetryPolicy.Failure failure =
        new RetryPolicy.Failure(attempts, Urgency.PROMPT, RunState.UNKNOWN, retryAfter, false);
    RetryPolicy.Decision decision =
        policy().decide(failure, 0, remaining * VirtualClock.MILLI, new SplittableRandom(seed));
    if (decision.isRetry()) {
      assertThat(decision.delay(), is(lessThan(Duration.ofMillis(remaining))));
      assertThat(decision.delay(), is(greaterThanOrEqualTo(Duration.ofMillis(retryAfter))));
    }
  }

  @Test
  void startedAnswerIsNotRetried() {
    RetryPolicy.Failure failure =
        new RetryPolicy.Failure(1, Urgency.PROMPT, RunState.UNKNOWN, 0, true);
    assertThat(
        policy().decide(failure, 0, DEADLINE_NANOS, new SplittableRandom(7)).verdict(),
        is(RetryPolicy.Verdict.NOT_SAFE));
  }

  @Test
  void retryBudgetLimitsAttemptsInFullOutage() {
    VirtualClock clock = new VirtualClock();
    RetryBudget budget = RetryBudget.of(clock);
    RetryPolicy policy = RetryPolicy.of(budget);
    SplittableRandom random = new SplittableRandom(7);
    int requests = 5_000;
    int attempts = 0;
    for (int i = 0; i < requests; i++) {
      clock.runUntil(100 * VirtualClock.MILLI * i);
      budget.onFirstAttempt();
      long now = clock.getAsLong();
      int attemptsMade = 1;
      while (policy
          .decide(
              failure(attemptsMade, Urgency.PROMPT, RunState.NOT_RUN),
              now,
              now + DEADLINE_NANOS,
              random)
          .isRetry()) {
        attemptsMade++;
      }
      attempts += attemptsMade;
    }
    assertThat(attempts / (double) requests, is(lessThan(1.1)));
  }
}
