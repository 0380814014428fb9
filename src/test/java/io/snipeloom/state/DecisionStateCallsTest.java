package io.snipeloom.state;

import static io.snipeloom.state.DecisionLog.CUSTOMER;
import static io.snipeloom.state.DecisionLog.OTHER;
import static io.snipeloom.state.DecisionLog.ROUTER;
import static io.snipeloom.state.DecisionLog.SIDECAR;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.UUID;
import org.junit.jupiter.api.Test;

class DecisionStateCallsTest {
  private static final RequestKey KEY = RequestKey.generate(CUSTOMER, 1000, new UUID(1, 2));
  private static final AttemptId FIRST = AttemptId.of(ROUTER, 1);
  private static final AttemptId SECOND = AttemptId.of(OTHER, 1);

  private final DecisionLog log = DecisionLog.create().topUp("t1", 1000).join(SIDECAR);

  private DecisionEvent intend(AttemptId attempt) {
    return intend(KEY, attempt, SIDECAR, "d");
  }

  private DecisionEvent intend(
      RequestKey key, AttemptId attempt, Incarnation sidecar, String digest) {
    return log.write(
            attempt.holder(), new DecisionRecord.IntentRecorded(key, attempt, sidecar, digest))
        .get(0);
  }

  private DecisionEvent conclude(AttemptId attempt, RunState outcome) {
    return log.write(SIDECAR, new DecisionRecord.OutcomeRecorded(KEY, attempt, outcome)).get(0);
  }

  private static ErrorCode codeOf(DecisionEvent event) {
    assertThat(event, instanceOf(DecisionEvent.IntentRefused.class));
    return ((DecisionEvent.IntentRefused) event).code();
  }

  @Test
  void secondIntentLearnsOfTheFirst() {
    intend(FIRST);
    DecisionEvent.IntentRefused refused = (DecisionEvent.IntentRefused) intend(SECOND);
    assertThat(refused.existing().attempt(), is(FIRST));
    assertThat(refused.existing().sidecar(), is(SIDECAR));
  }

  @Test
  void provenNotRunFreesTheKey() {
    intend(FIRST);
    conclude(FIRST, RunState.NOT_RUN);
    assertThat(intend(SECOND), instanceOf(DecisionEvent.IntentAccepted.class));
  }

  @Test
  void runAndUnknownAreFinal() {
    intend(FIRST);
    conclude(FIRST, RunState.UNKNOWN);
    assertThat(conclude(FIRST, RunState.NOT_RUN), instanceOf(DecisionEvent.OutcomeIgnored.class));
    assertThat(codeOf(intend(SECOND)), is(ErrorCode.OUTCOME_UNKNOWN));
    assertThat(conclude(FIRST, RunState.RAN), instanceOf(DecisionEvent.OutcomeApplied.class));
    assertThat(conclude(FIRST, RunState.UNKNOWN), instanceOf(DecisionEvent.OutcomeIgnored.class));
  }

  @Test
  void outcomeOfAnOlderAttemptIsIgnored() {
    intend(FIRST);
    conclude(FIRST, RunState.NOT_RUN);
    intend(SECOND);
    assertThat(conclude(FIRST, RunState.RAN), instanceOf(DecisionEvent.OutcomeIgnored.class));
  }

  @Test
  void keyWithoutIssueTimeIsRefused() {
    RequestKey untimed = RequestKey.of(CUSTOMER, "untimed");
    assertThat(codeOf(intend(untimed, FIRST, SIDECAR, "d")), is(ErrorCode.KEY_REQUIRED));
  }

  @Test
  void keyOfAnotherRequestIsRefused() {
    intend(FIRST);
    assertThat(codeOf(intend(KEY, SECOND, SIDECAR, "other")), is(ErrorCode.KEY_REUSED));
  }

  @Test
  void intentForReplacedSidecarIsRefused() {
    log.join(Incarnation.of("sidecar1#b"));
    assertThat(codeOf(intend(FIRST)), is(ErrorCode.NO_UPSTREAM));
  }

  @Test
  void intentOfClosedHolderIsRefused() {
    log.write(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    assertThat(codeOf(intend(FIRST)), is(ErrorCode.FENCED));
  }

  @Test
  void callsSurviveReload() {
    intend(FIRST);
    log.reload();
    assertThat(codeOf(intend(SECOND)), is(ErrorCode.OUTCOME_UNKNOWN));
  }
}
