package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.RunState;
import io.snipeloom.state.Urgency;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a sidecar runs calls that are not repeatable at most once. */
class SidecarAtMostOnceTest {
  private static final RequestKey KEY = Messages.key("vote");

  private final SidecarFixture fixture = SidecarFixture.service();

  @Test
  void secondAttemptForKeyIsRefusedAsUnknownOnceFirstHasStarted() {
    fixture.send(vote(1));
    fixture.send(vote(2));
    assertRefused(RunState.UNKNOWN);

    completeCall(0);
    fixture.send(vote(3));
    assertRefused(RunState.UNKNOWN);
    assertThat(fixture.backEnd.calls, hasSize(1));
  }

  @Test
  void newAttemptRunsIfFirstProvablyDidNotRun() {
    fixture.send(vote(1));
    fixture.call(0).listener.onFailure(BackEndFailure.NOT_SENT, "refused");
    fixture.run();
    assertRefused(RunState.NOT_RUN);
    assertThat(outcome(0), is(RunState.NOT_RUN));

    fixture.send(vote(2));
    assertThat(fixture.backEnd.calls, hasSize(2));
  }

  @Test
  void outcomeIsRecordedWithSettlement() {
    fixture.send(vote(1));
    completeCall(0);
    assertThat(outcome(0), is(RunState.RAN));
    assertThat(fixture.records(DecisionRecord.AttemptSettled.class), hasSize(1));
  }

  @Test
  void endIsSentWhileLogIsUnavailable() {
    fixture.logDown = true;
    fixture.send(vote(1));
    completeCall(0);
    assertThat(((Message.AnswerEnd) fixture.router.last()).complete(), is(true));
  }

  @Test
  void brokenCallHasUnknownOutcomeAndIsNotRepeated() {
    fixture.send(vote(1));
    fixture.call(0).breakConnection();
    fixture.advance(Duration.ofSeconds(1));
    assertThat(((Message.AnswerEnd) fixture.router.last()).error(), is(ErrorCode.OUTCOME_UNKNOWN));
    assertThat(outcome(0), is(RunState.UNKNOWN));

    fixture.send(vote(2));
    assertRefused(RunState.UNKNOWN);
    assertThat(fixture.backEnd.calls, hasSize(1));
  }

  @Test
  void cancelDoesNotStopRunningCall() {
    fixture.send(vote(1));
    fixture.send(new Message.Cancel(Messages.attempt(1)));
    assertThat(fixture.call(0).cancelled, is(false));
    completeCall(0);
    assertThat(outcome(0), is(RunState.RAN));
  }

  @Test
  void dispatchAfterTombstoneIsRefused() {
    assertThat(query(Messages.attempt(1), true), is(CallState.NEVER_RECEIVED));
    fixture.send(vote(1));
    assertRefused(RunState.NOT_RUN);
    fixture.send(vote(2));
    assertThat(fixture.backEnd.calls, hasSize(1));
  }

  @Test
  void tombstoneQueryAfterDispatchReportsRunningCall() {
    fixture.send(vote(1));
    assertThat(query(Messages.attempt(1), true), is(CallState.RUNNING));
    completeCall(0);
    assertThat(query(Messages.attempt(1), false), is(CallState.DONE));
    assertThat(query(null, false), is(CallState.DONE));
  }

  @Test
  void tombstoneForKeyRefusesEveryAttempt() {
    assertThat(query(null, true), is(CallState.NEVER_RECEIVED));
    fixture.send(vote(1));
    assertRefused(RunState.NOT_RUN);
  }

  @Test
  void attachToAttemptNeverReceivedPreventsItFromRunning() {
    fixture.send(new Message.Attach(Messages.attempt(1), 0));
    assertRefused(RunState.NOT_RUN);
    fixture.send(vote(1));
    assertRefused(RunState.NOT_RUN);
    assertThat(fixture.backEnd.calls, hasSize(0));
  }

  @Test
  void bufferedDispatchIsRefusedAfterPauseAndBySuccessor() {
    fixture.pause(Duration.ofSeconds(60));
    fixture.send(vote(1));
    assertRefused(RunState.NOT_RUN);

    SidecarFixture successor = SidecarFixture.service();
    successor.send(
        Messages.withSidecar(io.snipeloom.state.Incarnation.of("sidecar-1#s0"), vote(1)));
    assertThat(((Message.Refused) successor.router.last()).code(), is(ErrorCode.FENCED));
  }

  @Test
  void expiredAttemptsAndKeysAreUnknownAndDoNotRun() {
    fixture.send(vote(5));
    completeCall(0);
    fixture.advance(Duration.ofMinutes(16));

    assertThat(query(Messages.attempt(5), true), is(CallState.UNKNOWN));
    assertThat(query(Messages.attempt(4), true), is(CallState.UNKNOWN));
    assertThat(query(Messages.attempt(6), false), is(CallState.NEVER_RECEIVED));
    fixture.send(vote(5));
    assertRefused(RunState.UNKNOWN);
    fixture.send(vote(6));
    assertRefused(RunState.UNKNOWN);
    assertThat(fixture.backEnd.calls, hasSize(1));

    fixture.send(Messages.withIssuedAt(2_000, vote(7)));
    assertThat(fixture.backEnd.calls, hasSize(2));
  }

  @Test
  void expiredTombstoneStillRefusesItsAttempt() {
    query(Messages.attempt(3), true);
    fixture.advance(Duration.ofMinutes(16));
    fixture.send(vote(3));
    assertThat(fixture.router.last(), instanceOf(Message.Refused.class));
    assertThat(fixture.backEnd.calls, hasSize(0));
  }

  @Test
  void keyIssuedInTheFutureIsRefused() {
    fixture.send(Messages.withIssuedAt(Duration.ofMinutes(10).toMillis(), vote(1)));
    assertRefused(RunState.NOT_RUN);
  }

  private static Message.Dispatch vote(long sequence) {
    AttemptId attempt = Messages.attempt(sequence);
    return Messages.dispatch(attempt, KEY, Urgency.NOT_REPEATABLE, "vote");
  }

  private void completeCall(int index) {
    BackEndListener listener = fixture.call(index).listener;
    listener.onHead(200, List.of());
    listener.onData("done".getBytes(StandardCharsets.UTF_8));
    listener.onEnd();
    fixture.run();
  }

  private CallState query(AttemptId attempt, boolean plantTombstone) {
    fixture.send(new Message.CallQuery(1, KEY, attempt, plantTombstone));
    return ((Message.CallStatus) fixture.router.last()).state();
  }

  private RunState outcome(int index) {
    return fixture.records(DecisionRecord.OutcomeRecorded.class).get(index).outcome();
  }

  private void assertRefused(RunState runState) {
    assertThat(((Message.Refused) fixture.router.last()).runState(), is(runState));
  }
}
