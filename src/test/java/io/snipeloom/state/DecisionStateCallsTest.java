package io.snipeloom.state;

import static io.snipeloom.state.TestDecisionLog.CUSTOMER;
import static io.snipeloom.state.TestDecisionLog.OTHER;
import static io.snipeloom.state.TestDecisionLog.ROUTER;
import static io.snipeloom.state.TestDecisionLog.SIDECAR;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.UUID;
import org.junit.jupiter.api.Test;

class DecisionStateCallsTest {
  private static final RequestKey KEY = RequestKey.generate(CUSTOMER, 1000, new UUID(1, 2));
  private static final AttemptId FIRST = AttemptId.of(ROUTER, 1);
  private static final AttemptId SECOND = AttemptId.of(OTHER, 1);

  private final TestDecisionLog log = TestDecisionLog.create().topUp("t1", 1000).join(SIDECAR);

  private DecisionEvent recordIntent(AttemptId attempt) {
    return recordIntent(KEY, attempt, SIDECAR, "d");
  }

  private DecisionEvent recordIntent(
      RequestKey key, AttemptId attempt, Incarnation sidecar, String digest) {
    return log.append(
            attempt.holder(), new DecisionRecord.IntentRecorded(key, attempt, sidecar, digest))
        .get(0);
  }

  private DecisionEvent recordOutcome(AttemptId attempt, RunState outcome) {
    return log.append(SIDECAR, new DecisionRecord.OutcomeRecorded(KEY, attempt, outcome)).get(0);
  }

  private static ErrorCode codeOf(DecisionEvent event) {
    assertThat(event, instanceOf(DecisionEvent.IntentRefused.class));
    return ((DecisionEvent.IntentRefused) event).code();
  }

  @Test
  void secondIntentIsRefusedWithTheRecordOfTheFirst() {
    recordIntent(FIRST);
    DecisionEvent.IntentRefused refused = (DecisionEvent.IntentRefused) recordIntent(SECOND);
    assertThat(refused.existing().attempt(), is(FIRST));
    assertThat(refused.existing().sidecar(), is(SIDECAR));
  }

  @Test
  void keyCanBeUsedAgainAfterOutcomeNotRun() {
    recordIntent(FIRST);
    recordOutcome(FIRST, RunState.NOT_RUN);
    assertThat(recordIntent(SECOND), instanceOf(DecisionEvent.IntentAccepted.class));
  }

  @Test
  void unknownOutcomeCanOnlyBecomeRanAndRanIsFinal() {
    recordIntent(FIRST);
    recordOutcome(FIRST, RunState.UNKNOWN);
    assertThat(
        recordOutcome(FIRST, RunState.NOT_RUN), instanceOf(DecisionEvent.OutcomeIgnored.class));
    assertThat(codeOf(recordIntent(SECOND)), is(ErrorCode.OUTCOME_UNKNOWN));
    assertThat(recordOutcome(FIRST, RunState.RAN), instanceOf(DecisionEvent.OutcomeApplied.class));
    assertThat(
        recordOutcome(FIRST, RunState.UNKNOWN), instanceOf(DecisionEvent.OutcomeIgnored.class));
  }

  @Test
  void outcomeOfAnOlderAttemptIsIgnored() {
    recordIntent(FIRST);
    recordOutcome(FIRST, RunState.NOT_RUN);
    recordIntent(SECOND);
    assertThat(recordOutcome(FIRST, RunState.RAN), instanceOf(DecisionEvent.OutcomeIgnored.class));
  }

  @Test
  void keyWithoutIssueTimeIsRefused() {
    RequestKey withoutIssueTime = RequestKey.of(CUSTOMER, "untimed");
    assertThat(
        codeOf(recordIntent(withoutIssueTime, FIRST, SIDECAR, "d")), is(ErrorCode.KEY_REQUIRED));
  }

  @Test
  void keyReusedForAnotherRequestIsRefused() {
    recordIntent(FIRST);
    assertThat(codeOf(recordIntent(KEY, SECOND, SIDECAR, "other")), is(ErrorCode.KEY_REUSED));
  }

  @Test
  void intentForReplacedSidecarIsRefused() {
    log.join(Incarnation.of("sidecar1#b"));
    assertThat(codeOf(recordIntent(FIRST)), is(ErrorCode.NO_UPSTREAM));
  }

  @Test
  void intentOfClosedHolderIsRefused() {
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    assertThat(codeOf(recordIntent(FIRST)), is(ErrorCode.FENCED));
  }

  @Test
  void callsAreRestoredFromSnapshot() {
    recordIntent(FIRST);
    log.restoreFromSnapshot();
    assertThat(codeOf(recordIntent(SECOND)), is(ErrorCode.OUTCOME_UNKNOWN));
  }
}
