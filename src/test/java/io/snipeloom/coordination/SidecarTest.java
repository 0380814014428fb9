package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RunState;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.state.Urgency;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class SidecarTest {
  private static final EngineOrder LOAD = new EngineOrder(EngineOrder.Action.LOAD_MODEL, "model-a");

  private final SidecarFixture fixture = SidecarFixture.engine();

  @Test
  void streamsCompleteAnswerAndSettlesItOnce() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.call(0).complete();
    fixture.run();

    assertThat(fixture.router.sent, hasSize(4));
    Message.AnswerEnd end = (Message.AnswerEnd) fixture.router.last();
    assertThat(end.complete(), is(true));
    assertThat(end.count(), is(2L));
    assertThat(settled().consumedTokens(), is(6L));
    assertThat(settled().billed(), is(true));
  }

  @Test
  void duplicateDispatchRunsOnce() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));

    assertThat(fixture.backEnd.calls, hasSize(1));
  }

  @Test
  void dispatchOfAnotherHolderClosesConnection() {
    AttemptId other = AttemptId.of(Incarnation.of("router-2#b1"), 1);
    fixture.send(Messages.dispatch(other, Messages.key("k"), Urgency.PROMPT, "print"));
    assertThat(fixture.router.closed, is(true));
    assertThat(fixture.backEnd.calls, is(empty()));
  }

  @Test
  void refusesWorkUntilJoinIsInLog() {
    SidecarFixture starting =
        new SidecarFixture(UpstreamKind.MODEL_ENGINE, SidecarLimits.standard());
    starting.logDown = true;
    starting.sidecar.start();
    starting.send(Messages.dispatch(1, Urgency.PROMPT));
    assertRefused(starting, ErrorCode.NOT_READY);
    starting.restoreLog();
    starting.send(Messages.dispatch(2, Urgency.PROMPT));

    assertThat(starting.backEnd.calls, hasSize(1));
  }

  @Test
  void refusesDispatchToAnotherIncarnation() {
    SidecarFixture other = SidecarFixture.engine();
    Message.Dispatch dispatch = Messages.dispatch(1, Urgency.PROMPT);
    other.send(Messages.withSidecar(Incarnation.of("sidecar-1#s0"), dispatch));
    assertRefused(other, ErrorCode.FENCED);
  }

  @Test
  void refusesWorkOfClosedHolderAndReportsItDrainedAfterSettlement() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.closedHolders.add(Messages.ROUTER);
    fixture.sidecar.onHolderClosed(Messages.ROUTER);
    fixture.run();
    fixture.send(Messages.dispatch(2, Urgency.PROMPT));
    assertRefused(fixture, ErrorCode.FENCED);
    assertThat(fixture.records(DecisionRecord.HolderDrained.class), is(empty()));

    fixture.logDown = true;
    fixture.call(0).complete();
    fixture.run();
    assertThat(fixture.records(DecisionRecord.HolderDrained.class), is(empty()));
    fixture.restoreLog();
    assertThat(fixture.records(DecisionRecord.HolderDrained.class), hasSize(1));
  }

  @Test
  void refusesConvictedRequest() {
    fixture.convicted.add("print-1");
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    assertRefused(fixture, ErrorCode.REQUEST_CONVICTED);
  }

  @Test
  void refusesWorkReceivedAfterProcessPause() {
    fixture.pause(Duration.ofSeconds(30));
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    assertRefused(fixture, ErrorCode.CONNECTION_LOST);
    assertThat(fixture.backEnd.calls, is(empty()));
  }

  @Test
  void refusesWorkAfterBeingReplaced() {
    fixture.sidecar.onReplaced();
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    assertRefused(fixture, ErrorCode.FENCED);
  }

  @Test
  void fullQueueRefusesWithRetryAfterAndShedsCanWaitRequests() {
    SidecarFixture singleSlot =
        SidecarFixture.started(
            UpstreamKind.MODEL_ENGINE, SidecarLimits.standard().withCapacity(1, 1));
    singleSlot.send(Messages.dispatch(1, Urgency.PROMPT));
    singleSlot.send(Messages.dispatch(2, Urgency.CAN_WAIT));
    singleSlot.send(Messages.dispatch(3, Urgency.CAN_WAIT));
    assertRefused(singleSlot, ErrorCode.OVERLOADED);
    Message.Refused refusal = (Message.Refused) singleSlot.router.last();
    assertThat(refusal.retryAfterMillis() > 0, is(true));

    singleSlot.send(Messages.dispatch(4, Urgency.PROMPT));
    assertRefused(singleSlot, ErrorCode.OVERLOADED);
    assertThat(((Message.Refused) singleSlot.router.last()).attempt(), is(Messages.attempt(2)));
  }

  @Test
  void attemptWhoseDeadlinePassesInQueueIsNotRun() {
    SidecarFixture singleSlot =
        SidecarFixture.started(
            UpstreamKind.MODEL_ENGINE, SidecarLimits.standard().withCapacity(1, 4));
    singleSlot.send(Messages.dispatch(1, Urgency.NOT_REPEATABLE));
    singleSlot.send(Messages.dispatch(2, Urgency.PROMPT));
    singleSlot.advance(Duration.ofSeconds(31));
    assertRefused(singleSlot, ErrorCode.DEADLINE_EXCEEDED);
    assertThat(singleSlot.backEnd.calls, hasSize(1));
  }

  @Test
  void leavingSidecarFirstFinishesAndSettlesOpenWork() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    final var left = fixture.sidecar.leave().toCompletableFuture();
    fixture.run();
    assertThat(fixture.router.last(), instanceOf(Message.Leaving.class));
    fixture.send(Messages.dispatch(2, Urgency.PROMPT));
    assertRefused(fixture, ErrorCode.LEAVING);
    fixture.advance(Duration.ofSeconds(1));
    assertThat(left.isDone(), is(false));

    fixture.call(0).complete();
    fixture.advance(Duration.ofSeconds(1));
    assertThat(left.isDone(), is(true));
    int last = fixture.records.size() - 1;
    assertThat(fixture.records.get(last), instanceOf(DecisionRecord.SidecarLeft.class));
    assertThat(fixture.records(DecisionRecord.AttemptSettled.class), hasSize(1));
    assertThat(((Message.AnswerEnd) fixture.router.last()).complete(), is(true));
  }

  @Test
  void leavingWaitsUntilSettlementIsInLog() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.logDown = true;
    fixture.call(0).complete();
    final var left = fixture.sidecar.leave().toCompletableFuture();
    fixture.advance(Duration.ofSeconds(1));
    assertThat(fixture.records(DecisionRecord.SidecarLeft.class), is(empty()));
    fixture.restoreLog();
    fixture.advance(Duration.ofSeconds(1));
    assertThat(left.isDone(), is(true));
  }

  @Test
  void consumptionAboveReservationCancelsCallAndSettlesReservedTokens() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.call(0).sendHead();
    for (int i = 0; i < 101; i++) {
      fixture.call(0).sendToken("t");
    }
    fixture.run();

    assertThat(fixture.call(0).cancelled, is(true));
    Message.AnswerEnd end = (Message.AnswerEnd) fixture.router.last();
    assertThat(end.error(), is(ErrorCode.INVARIANT_VIOLATED));
    assertThat(settled().consumedTokens(), is(120L));
    assertThat(settled().billed(), is(false));
    assertThat(fixture.metrics.counter("sidecar.invariants.violated").getCount(), is(1L));
  }

  @Test
  void engineRequestIsStreamedAndLimitedToReservedOutput() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    String body = new String(fixture.call(0).call.body(), java.nio.charset.StandardCharsets.UTF_8);
    assertThat(
        body,
        is(
            "{\"model\":\"m\",\"messages\":[],\"max_tokens\":100,\"stream\":true,"
                + "\"stream_options\":{\"include_usage\":true}}"));
  }

  @Test
  void refusalByEngineOrFailedConnectionMeansNotRun() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.call(0).listener.onHead(429, java.util.List.of());
    fixture.run();
    assertRefused(fixture, ErrorCode.OVERLOADED);
    fixture.send(Messages.dispatch(2, Urgency.PROMPT));
    fixture.call(1).listener.onFailure(BackEndFailure.NOT_SENT, "refused");
    fixture.run();
    assertRefused(fixture, ErrorCode.UPSTREAM_FAILED);
    assertThat(fixture.records(DecisionRecord.AttemptSettled.class), is(empty()));
  }

  @Test
  void brokenStreamEndsIncompleteAndIsNotBilled() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.call(0).sendHead();
    fixture.call(0).sendToken("a");
    fixture.call(0).breakConnection();
    fixture.advance(Duration.ofSeconds(1));

    Message.AnswerEnd end = (Message.AnswerEnd) fixture.router.last();
    assertThat(end.complete(), is(false));
    assertThat(end.error(), is(ErrorCode.UPSTREAM_FAILED));
    assertThat(settled().billed(), is(false));
    assertThat(settled().consumedTokens(), is(21L));
  }

  @Test
  void cancelledAttemptIsStoppedSettledAndBilled() {
    fixture.send(Messages.dispatch(1, Urgency.PROMPT));
    fixture.call(0).sendHead();
    fixture.call(0).sendToken("a");
    fixture.run();
    fixture.send(new Message.Cancel(Messages.attempt(1)));

    assertThat(fixture.call(0).cancelled, is(true));
    assertThat(settled().billed(), is(true));
    assertThat(((Message.AnswerEnd) fixture.router.last()).complete(), is(false));
  }

  @Test
  void unretainedAnswerIsCancelledAfterGraceWithoutReader() {
    fixture.send(Messages.notRetained(Messages.dispatch(1, Urgency.PROMPT)));
    fixture.send(Messages.dispatch(2, Urgency.PROMPT));
    fixture.sidecar.onClosed(fixture.router, null);
    fixture.advance(Duration.ofSeconds(12));

    assertThat(fixture.call(0).cancelled, is(true));
    assertThat(fixture.call(1).cancelled, is(false));
  }

  @Test
  void ordersReachEngineInOrderAndOlderOnesAreDropped() {
    fixture.sidecar.onOrder(7, LOAD);
    fixture.sidecar.onOrder(5, LOAD);
    fixture.sidecar.onOrder(7, LOAD);
    fixture.sidecar.onOrder(9, LOAD);
    fixture.run();
    assertThat(fixture.backEnd.receivedFencingNumbers, contains(7L, 9L));

    fixture.sidecar.onReplaced();
    fixture.sidecar.onOrder(11, LOAD);
    fixture.run();
    assertThat(fixture.backEnd.receivedFencingNumbers, contains(7L, 9L));
  }

  private DecisionRecord.AttemptSettled settled() {
    var all = fixture.records(DecisionRecord.AttemptSettled.class);
    assertThat(all, hasSize(1));
    return all.get(0);
  }

  private static void assertRefused(SidecarFixture fixture, ErrorCode code) {
    fixture.run();
    Message.Refused refusal = (Message.Refused) fixture.router.last();
    assertThat(refusal.code(), is(code));
    assertThat(refusal.runState(), is(RunState.NOT_RUN));
  }
}
