package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.snipeloom.routing.Route;
import io.snipeloom.routing.RouteType;
import io.snipeloom.routing.ServiceShare;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryRulesTest {
  private static final Route AT_MOST_ONCE = route(RouteType.NON_IDEMPOTENT, 1, false);
  private static final Route IDEMPOTENT = route(RouteType.IDEMPOTENT, 2, false);
  private static final Route RESUMABLE_STREAM = route(RouteType.STREAMING, 2, true);
  private static final Route PLAIN_STREAM = route(RouteType.STREAMING, 1, false);

  @Test
  void requestThatMayHaveExecutedIsRetriedOnlyIfRepeatable() {
    for (AttemptFailure failure : AttemptFailure.values()) {
      if (failure.mayHaveRun()) {
        assertThat(
            failure + " on a non-idempotent route", mayRetry(AT_MOST_ONCE, failure, 1), is(false));
        assertThat(
            failure + " on a stream that is not resumable",
            mayRetry(PLAIN_STREAM, failure, 1),
            is(false));
        assertThat(failure + " on an idempotent route", mayRetry(IDEMPOTENT, failure, 1), is(true));
        assertThat(
            failure + " on a resumable stream", mayRetry(RESUMABLE_STREAM, failure, 1), is(true));
      }
    }
  }

  @Test
  void requestThatDidNotExecuteIsRetried() {
    assertThat(mayRetry(AT_MOST_ONCE, AttemptFailure.NOT_EXECUTED, 0), is(true));
    assertThat(mayRetry(AT_MOST_ONCE, AttemptFailure.NOT_CONNECTED, 0), is(true));
  }

  @Test
  void executionsAreLimitedToMaxAttempts() {
    assertThat(mayRetry(IDEMPOTENT, AttemptFailure.ERROR_ANSWER, 2), is(false));
    assertThat(mayRetry(RESUMABLE_STREAM, AttemptFailure.BROKEN, 2), is(false));
  }

  @Test
  void sendsAndConnectFailuresAreLimited() {
    assertThat(
        RetryRules.mayRetry(AT_MOST_ONCE, AttemptFailure.NOT_EXECUTED, 0, 3, 0, 500), is(false));
    assertThat(
        RetryRules.mayRetry(AT_MOST_ONCE, AttemptFailure.NOT_CONNECTED, 0, 0, 3, 500), is(false));
  }

  @Test
  void noRetryShortlyBeforeTheDeadline() {
    assertThat(
        RetryRules.mayRetry(IDEMPOTENT, AttemptFailure.NOT_CONNECTED, 0, 0, 1, 5), is(false));
  }

  @Test
  void silenceTimeoutIsShorterThanCallerTimeoutAndOnlySetForRepeatableRequests() {
    assertThat(RetryRules.silenceTimeoutMillis(AT_MOST_ONCE), is(0L));
    assertThat(RetryRules.silenceTimeoutMillis(PLAIN_STREAM), is(0L));
    assertThat(RetryRules.silenceTimeoutMillis(RESUMABLE_STREAM), lessThan(2_000L));
    assertThat(RetryRules.silenceTimeoutMillis(IDEMPOTENT), greaterThan(100L));
    assertThat(RetryRules.silenceTimeoutMillis(IDEMPOTENT), lessThan(600L));
  }

  private static boolean mayRetry(Route route, AttemptFailure failure, int runs) {
    return RetryRules.mayRetry(route, failure, runs, 1, 0, 500);
  }

  private static Route route(RouteType type, int maxAttempts, boolean resumable) {
    return new Route(
        "route",
        "host.example",
        "/",
        type,
        600,
        100,
        0,
        2,
        List.of(new ServiceShare("service", 1)),
        maxAttempts,
        false,
        false,
        resumable);
  }
}
