package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.RunState;
import io.snipeloom.state.UpstreamKind;
import io.snipeloom.transport.FrameConnection;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Handles the messages that a sidecar receives from routers. Confined to the sidecar's executor.
 */
final class RouterRequests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final UpstreamKind kind;
  private final SidecarLimits limits;
  private final AttemptMemory memory;
  private final AttemptTable attempts;
  private final AttemptQueue queue;
  private final DispatchGuard guard;
  private final SettlementWriter settlements;
  private final AttemptRunner runner;
  private final CallLookup lookup;
  private final Supplier<DispatchGuard.Readiness> readiness;
  private final InstantSource clock;
  private final LongSupplier nanoClock;
  private final MetricRegistry metrics;

  RouterRequests(
      UpstreamKind kind,
      SidecarLimits limits,
      AttemptMemory memory,
      AttemptTable attempts,
      AttemptQueue queue,
      DispatchGuard guard,
      SettlementWriter settlements,
      AttemptRunner runner,
      Supplier<DispatchGuard.Readiness> readiness,
      InstantSource clock,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    this.kind = kind;
    this.limits = limits;
    this.memory = memory;
    this.attempts = attempts;
    this.queue = queue;
    this.guard = guard;
    this.settlements = settlements;
    this.runner = runner;
    this.lookup = new CallLookup(memory, attempts, clock, nanoClock);
    this.readiness = readiness;
    this.clock = clock;
    this.nanoClock = nanoClock;
    this.metrics = metrics;
  }

  /** Handles a message from a router. */
  void receive(FrameConnection connection, Message message) {
    if (message instanceof Message.Dispatch dispatch) {
      dispatch(connection, dispatch);
    } else if (message instanceof Message.Attach attach) {
      attach(connection, attach);
    } else if (message instanceof Message.AnswerAck ack) {
      attempts
          .get(ack.attempt())
          .ifPresent(a -> a.buffer().acknowledge(connection, ack.nextSequence()));
    } else if (message instanceof Message.Cancel cancel) {
      attempts.get(cancel.attempt()).ifPresent(a -> cancel(connection, a));
    } else if (message instanceof Message.CallQuery query) {
      connection.send(lookup.answer(query));
    } else if (!(message instanceof Message.Heartbeat)) {
      connection.close("unexpected message from a router");
    }
  }

  private void dispatch(FrameConnection connection, Message.Dispatch dispatch) {
    if (!dispatch.attempt().holder().equals(connection.peer())) {
      metrics.meter("sidecar.dispatches.foreign").mark();
      connection.close("the attempt belongs to a holder other than the connected router");
      return;
    }
    if (memory.stateOf(dispatch.attempt()) != CallState.NEVER_RECEIVED) {
      metrics.meter("sidecar.dispatches.repeated").mark();
      follow(connection, dispatch.attempt(), 0);
      return;
    }
    Optional<Message.Refused> refusal = guard.refusal(dispatch, readiness.get(), clock.millis());
    if (refusal.isEmpty()) {
      refusal = makeRoom(dispatch);
    }
    if (refusal.isPresent()) {
      refuse(connection, refusal.get());
    } else {
      accept(connection, dispatch);
    }
  }

  private Optional<Message.Refused> makeRoom(Message.Dispatch dispatch) {
    Optional<SidecarAttempt> displaced =
        queue.isFull() ? queue.removeLessUrgentThan(dispatch.urgency().rank()) : Optional.empty();
    displaced.ifPresent(
        a ->
            runner.refuse(
                a, ErrorCode.OVERLOADED, "displaced by a more urgent request", retryAfterMillis()));
    if (!memory.isFull() && !queue.isFull() && !attempts.isFull()) {
      return Optional.empty();
    }
    return Optional.of(
        new Message.Refused(
            dispatch.attempt(),
            ErrorCode.OVERLOADED,
            "the sidecar has no room for another attempt",
            RunState.NOT_RUN,
            retryAfterMillis()));
  }

  private long retryAfterMillis() {
    return attempts.meanRunMillis() * (queue.waitingCount() + 1) / Math.max(1, queue.capacity());
  }

  private void refuse(FrameConnection connection, Message.Refused refusal) {
    if (refusal.runState() == RunState.NOT_RUN) {
      memory.addTombstone(refusal.attempt(), nanoClock.getAsLong());
    }
    metrics.meter("sidecar.dispatches.refused").mark();
    logger.atInfo().log(
        "%s",
        LogLine.of("dispatch.refused")
            .with("holder", refusal.attempt().holder())
            .with("attempt", refusal.attempt().sequence())
            .with("code", refusal.code().text())
            .with("ran", refusal.runState().text()));
    connection.send(refusal);
  }

  private void accept(FrameConnection connection, Message.Dispatch dispatch) {
    long now = nanoClock.getAsLong();
    SidecarAttempt attempt = new SidecarAttempt(dispatch, kind, limits, now);
    long issued = attempt.isRepeatable() ? Long.MIN_VALUE : dispatch.issuedAtMillis();
    memory.recordReceived(dispatch.attempt(), dispatch.key(), issued, now);
    settlements.accept(attempt);
    attempts.add(attempt);
    attempt.buffer().subscribe(connection, 0);
    queue.add(attempt);
    runner.startWaiting();
  }

  private void attach(FrameConnection connection, Message.Attach attach) {
    if (memory.stateOf(attach.attempt()) == CallState.NEVER_RECEIVED) {
      memory.addTombstone(attach.attempt(), nanoClock.getAsLong());
    }
    follow(connection, attach.attempt(), attach.fromSequence());
  }

  private void follow(FrameConnection connection, AttemptId attempt, long fromSequence) {
    Optional<SidecarAttempt> found = attempts.get(attempt);
    if (found.isPresent() && found.get().buffer().canServeFrom(fromSequence)) {
      found.get().buffer().subscribe(connection, fromSequence);
    } else {
      connection.send(lookup.answerUnavailable(attempt));
    }
  }

  private void cancel(FrameConnection connection, SidecarAttempt attempt) {
    if (attempt.buffer().isOnlyReader(connection)) {
      attempt.buffer().removeWindowLimit(connection);
      runner.cancel(attempt);
    } else {
      attempt.buffer().unsubscribe(connection);
      connection.send(
          new Message.Refused(
              attempt.id(),
              ErrorCode.CONNECTION_LOST,
              "other readers still receive the answer",
              RunState.UNKNOWN,
              0));
    }
  }
}
