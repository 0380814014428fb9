package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RunState;
import io.snipeloom.state.Urgency;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how a sidecar handles engine crashes and the requests suspected of causing them. */
class SidecarCrashTest {
  private final SidecarFixture fixture = SidecarFixture.engine();

  @Test
  void crashReportsEachRunningRequestOnceAndFailsIt() {
    send(1, 2, 3);
    crash();

    List<DecisionRecord.CrashReported> reports = reports();
    assertThat(
        reports.stream().map(DecisionRecord.CrashReported::fingerprint).toList(),
        containsInAnyOrder("print-1", "print-2", "print-3"));
    assertThat(
        reports.stream().map(DecisionRecord.CrashReported::alone).toList(), everyItem(is(false)));
    List<Message.AnswerEnd> ends = fixture.router.sent(Message.AnswerEnd.class);
    assertThat(ends, hasSize(3));
    assertThat(
        ends.stream().map(Message.AnswerEnd::error).toList(),
        everyItem(is(ErrorCode.UPSTREAM_FAILED)));
    assertThat(fixture.records(DecisionRecord.AttemptSettled.class), hasSize(3));
  }

  @Test
  void crashOfRequestRunningAloneConvictsItImmediately() {
    send(1);
    crash();
    assertThat(reports().get(0).alone(), is(true));
    restart();
    Message.Dispatch again =
        Messages.dispatch(Messages.attempt(9), Messages.key("other"), Urgency.PROMPT, "print-1");
    fixture.send(again);
    Message.Refused refusal = (Message.Refused) fixture.router.last();
    assertThat(refusal.code(), is(ErrorCode.REQUEST_CONVICTED));
    assertThat(fixture.backEnd.calls, hasSize(1));
  }

  @Test
  void queuedAttemptsAreRefusedAsNotRunAfterCrash() {
    SidecarFixture singleSlot =
        SidecarFixture.started(
            io.snipeloom.state.UpstreamKind.MODEL_ENGINE,
            SidecarLimits.standard().withCapacity(1, 4));
    singleSlot.send(Messages.dispatch(1, Urgency.PROMPT));
    singleSlot.send(Messages.dispatch(2, Urgency.PROMPT));
    singleSlot.backEnd.reachable = false;
    singleSlot.call(0).breakConnection();
    singleSlot.advance(Duration.ofSeconds(1));
    List<Message.Refused> refusals = singleSlot.router.sent(Message.Refused.class);
    assertThat(refusals, hasSize(1));
    assertThat(refusals.get(0).attempt(), is(Messages.attempt(2)));
    assertThat(refusals.get(0).runState(), is(RunState.NOT_RUN));
  }

  @Test
  void endOfCrashedAttemptWaitsForReportUntilTimeout() {
    fixture.logDown = true;
    send(1);
    crash();
    assertThat(fixture.router.sent(Message.AnswerEnd.class), is(empty()));
    fixture.advance(Duration.ofSeconds(3));
    assertThat(fixture.router.sent(Message.AnswerEnd.class), hasSize(1));
  }

  @Test
  void suspectRunsAloneAndQueuedWorkResumesAfterIt() {
    fixture.suspects.add("print-2");
    send(1, 2, 3);
    assertThat(fixture.backEnd.calls, hasSize(1));
    fixture.call(0).complete();
    fixture.run();
    assertThat(fixture.backEnd.calls, hasSize(2));
    fixture.call(1).complete();
    fixture.run();

    assertThat(fixture.backEnd.calls, hasSize(3));
    assertThat(fixture.records(DecisionRecord.SuspectCleared.class), hasSize(1));
  }

  @Test
  void brokenStreamOfRunningEngineIsNotReportedAsCrash() {
    send(1, 2);
    fixture.call(0).breakConnection();
    fixture.advance(Duration.ofSeconds(1));
    assertThat(reports(), is(empty()));
    assertThat(fixture.router.sent(Message.AnswerEnd.class), hasSize(1));
    fixture.call(1).complete();
    fixture.run();
    assertThat(((Message.AnswerEnd) fixture.router.last()).complete(), is(true));
  }

  @Test
  void engineRestartBetweenProbesIsReportedAsCrashOfRunningRequests() {
    send(1, 2);
    fixture.backEnd.status = new BackEndStatus(true, 0, 0, 0, "start-2");
    fixture.call(0).breakConnection();
    fixture.advance(Duration.ofSeconds(1));
    assertThat(reports(), hasSize(2));
    assertThat(reports().get(0).alone(), is(false));
  }

  @Test
  void requestCrashesEngineOfOneSidecarAtMostTwice() {
    int crashes = 0;
    for (int attempt = 1; attempt <= 20; attempt++) {
      int callsBefore = fixture.backEnd.calls.size();
      Message.Dispatch poison =
          Messages.dispatch(
              Messages.attempt(attempt),
              Messages.key("resend-" + attempt),
              Urgency.PROMPT,
              "poison");
      fixture.send(Messages.dispatch(100 + attempt, Urgency.PROMPT));
      fixture.send(poison);
      boolean poisonStarted = fixture.backEnd.calls.size() > callsBefore + 1;
      completeNeighbourUnlessPoisonStarted(callsBefore, poisonStarted);
      if (fixture.backEnd.calls.size() > callsBefore + 1) {
        crashes++;
        crash();
        restart();
      }
    }
    assertThat(crashes, is(2));
  }

  private void completeNeighbourUnlessPoisonStarted(int index, boolean poisonStarted) {
    if (!poisonStarted) {
      fixture.call(index).complete();
      fixture.run();
    }
  }

  private void send(long... sequences) {
    for (long sequence : sequences) {
      fixture.send(Messages.dispatch(sequence, Urgency.PROMPT));
    }
  }

  private void crash() {
    fixture.backEnd.reachable = false;
    fixture.backEnd.calls.forEach(FakeBackEnd.Call::breakConnection);
    fixture.advance(Duration.ofSeconds(1));
  }

  private void restart() {
    fixture.backEnd.reachable = true;
    fixture.advance(Duration.ofSeconds(1));
  }

  private List<DecisionRecord.CrashReported> reports() {
    return fixture.records(DecisionRecord.CrashReported.class);
  }
}
