package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RetryAllowanceTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long WINDOW_NANOS = 10 * SECOND_NANOS;

  @Test
  void retriesInAnyWindowStayWithinTheAllowance() {
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      RetryAllowance allowance = new RetryAllowance(0.2, () -> 13, WINDOW_NANOS);
      Deque<Long> requests = new ArrayDeque<>();
      Deque<Long> retries = new ArrayDeque<>();
      long now = random.nextLong(SECOND_NANOS);
      for (int i = 0; i < 3_000; i++) {
        now += random.nextLong(SECOND_NANOS / 20);
        allowance.onRequest(now);
        requests.add(now);
        if (allowance.tryRetry(now)) {
          retries.add(now);
        }
        removeUntil(requests, now - WINDOW_NANOS * 3 / 2);
        removeUntil(retries, now - WINDOW_NANOS);
        assertThat(
            "retries in a window with seed " + seed,
            (double) retries.size(),
            lessThanOrEqualTo(0.2 * requests.size() + 13));
      }
    }
  }

  @Test
  void slackIsAvailableAgainAfterTheWindow() {
    RetryAllowance allowance = new RetryAllowance(0, () -> 2, WINDOW_NANOS);
    assertThat(allowance.tryRetry(SECOND_NANOS), is(true));
    assertThat(allowance.tryRetry(SECOND_NANOS), is(true));
    assertThat(allowance.tryRetry(SECOND_NANOS), is(false));
    assertThat(allowance.tryRetry(SECOND_NANOS + WINDOW_NANOS / 2), is(false));
    assertThat(allowance.tryRetry(SECOND_NANOS + 2 * WINDOW_NANOS), is(true));
  }

  private static void removeUntil(Deque<Long> times, long limit) {
    while (!times.isEmpty() && times.peek() <= limit) {
      times.poll();
    }
  }
}
