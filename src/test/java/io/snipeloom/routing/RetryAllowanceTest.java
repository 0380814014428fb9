package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

  /**
   * Guards against retries of the whole fleet that exceed the ratio of the requests of their
   * window, although each instance keeps to its own window.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 26})
  void retriesOfTheFleetStayWithinTheRatioOfAnyWindow(int instances) {
    for (long seed = 0; seed < 20; seed++) {
      Random random = new Random(seed);
      List<RetryAllowance> fleet = new ArrayList<>();
      for (int i = 0; i < instances; i++) {
        fleet.add(new RetryAllowance(0.2, () -> 52.0 / instances, WINDOW_NANOS));
      }
      List<Long> requests = new ArrayList<>();
      List<Long> retries = new ArrayList<>();
      long now = random.nextLong(WINDOW_NANOS);
      for (int i = 0; i < 3_000; i++) {
        now += random.nextLong(SECOND_NANOS / 25);
        RetryAllowance instance = fleet.get(random.nextInt(fleet.size()));
        instance.onRequest(now);
        requests.add(now);
        if (i > 500 && instance.tryRetry(now)) {
          retries.add(now);
        }
      }
      for (long start : retries) {
        double allowed = 0.2 * mostRequests(requests, start) + 52;
        double used = count(retries, start);
        assertThat("retries with seed " + seed, used, lessThanOrEqualTo(allowed));
      }
    }
  }

  /** Returns the most requests of a window, the one before it and the one half a window before. */
  private static long mostRequests(List<Long> requests, long start) {
    long same = count(requests, start);
    long before = count(requests, start - WINDOW_NANOS);
    long halfBefore = count(requests, start - WINDOW_NANOS / 2);
    return Math.max(same, Math.max(before, halfBefore));
  }

  private static long count(List<Long> times, long start) {
    return times.stream().filter(time -> time >= start && time < start + WINDOW_NANOS).count();
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
