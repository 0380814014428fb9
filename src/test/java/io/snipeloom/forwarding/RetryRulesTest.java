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
  private static final Route VOTE = route(RouteType.NON_IDEMPOTENT, 1, false);
  private static final Route STATUS = route(RouteType.IDEMPOTENT, 2, false);
  private static final Route DOSSIER = route(RouteType.STREAMING, 2, true);
  private static final Route CITATION = route(RouteType.STREAMING, 1, false);

  @Test
  void whatMayHaveRunIsNotSentAgainUnlessThatIsHarmless() {
    for (AttemptFailure failure : AttemptFailure.values()) {
      if (failure.mayHaveRun()) {
        assertThat(failure + " of a vote", maySendAgain(VOTE, failure, 1), is(false));
        assertThat(failure + " of a citation", maySendAgain(CITATION, failure, 1), is(false));
        assertThat(failure + " of a status", maySendAgain(STATUS, failure, 1), is(true));
        assertThat(failure + " of a dossier", maySendAgain(DOSSIER, failure, 1), is(true));
      }
    }
  }

  @Test
  void whatDidNotRunMayGoToAnotherReplica() {
    assertThat(maySendAgain(VOTE, AttemptFailure.NOT_EXECUTED, 0), is(true));
    assertThat(maySendAgain(VOTE, AttemptFailure.NOT_CONNECTED, 0), is(true));
  }

  @Test
  void noMoreReplicasRunRequestsThanRoutesAllow() {
    assertThat(maySendAgain(STATUS, AttemptFailure.ERROR_ANSWER, 2), is(false));
    assertThat(maySendAgain(DOSSIER, AttemptFailure.BROKEN, 2), is(false));
  }

  @Test
  void refusalsDoNotGoRoundTheFleet() {
    assertThat(RetryRules.maySendAgain(VOTE, AttemptFailure.NOT_EXECUTED, 0, 3, 0, 500), is(false));
    assertThat(
        RetryRules.maySendAgain(VOTE, AttemptFailure.NOT_CONNECTED, 0, 0, 3, 500), is(false));
  }

  @Test
  void nothingIsStartedWithoutTimeLeft() {
    assertThat(
        RetryRules.maySendAgain(STATUS, AttemptFailure.NOT_CONNECTED, 0, 0, 1, 5), is(false));
  }

  @Test
  void silentReplicaIsGivenUpBeforeTheCallerDoesAndOnlyWhereThatIsHarmless() {
    assertThat(RetryRules.silenceMillis(VOTE), is(0L));
    assertThat(RetryRules.silenceMillis(CITATION), is(0L));
    assertThat(RetryRules.silenceMillis(DOSSIER), lessThan(2_000L));
    assertThat(RetryRules.silenceMillis(STATUS), greaterThan(100L));
    assertThat(RetryRules.silenceMillis(STATUS), lessThan(600L));
  }

  private static boolean maySendAgain(Route route, AttemptFailure failure, int runs) {
    return RetryRules.maySendAgain(route, failure, runs, 1, 0, 500);
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
