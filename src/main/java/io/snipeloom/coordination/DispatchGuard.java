package io.snipeloom.coordination;

import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RunState;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a sidecar takes an attempt. Every refusal states truthfully whether the request
 * ran.
 *
 * <p>Pure and not thread-safe.
 */
final class DispatchGuard {
  private static final long MAX_CLOCK_SKEW_MILLIS = Duration.ofMinutes(5).toMillis();

  /** Whether the process takes work at all. */
  enum Readiness {
    STARTING(ErrorCode.NOT_READY, "the sidecar is starting"),
    READY(null, ""),
    BACK_END_DOWN(ErrorCode.UPSTREAM_FAILED, "the back end is down"),
    PAUSED(ErrorCode.CONNECTION_LOST, "the sidecar was paused"),
    LEAVING(ErrorCode.LEAVING, "not run, leaving"),
    REPLACED(ErrorCode.FENCED, "the sidecar was replaced");

    private final ErrorCode code;
    private final String message;

    Readiness(ErrorCode code, String message) {
      this.code = code;
      this.message = message;
    }

    private Optional<Message.Refused> refusal(Message.Dispatch dispatch) {
      return this == READY ? Optional.empty() : notRun(dispatch, code, message);
    }
  }

  private final Incarnation self;
  private final DecisionLookup decisions;
  private final CrashWatch crashes;
  private final AttemptMemory memory;

  DispatchGuard(
      Incarnation self, DecisionLookup decisions, CrashWatch crashes, AttemptMemory memory) {
    this.self = self;
    this.decisions = decisions;
    this.crashes = crashes;
    this.memory = memory;
  }

  /** Returns why an attempt that is not known yet is refused; empty if it may be queued. */
  Optional<Message.Refused> refusal(
      Message.Dispatch dispatch, Readiness readiness, long nowMillis) {
    if (memory.stateOf(dispatch.attempt()) == CallState.UNKNOWN) {
      return unknown(dispatch, "the attempt is older than what is remembered");
    }
    if (!dispatch.sidecar().equals(self)) {
      return notRun(dispatch, ErrorCode.FENCED, "the attempt is meant for " + dispatch.sidecar());
    }
    return readiness
        .refusal(dispatch)
        .or(() -> decisionRefusal(dispatch))
        .or(() -> keyRefusal(dispatch, nowMillis));
  }

  /** Returns why an attempt that waited must not start now; empty if it may. */
  Optional<Message.Refused> startRefusal(SidecarAttempt attempt, long nowNanos) {
    if (attempt.isExpired(nowNanos)) {
      return notRun(attempt.dispatch(), ErrorCode.DEADLINE_EXCEEDED, "the deadline passed");
    }
    return decisionRefusal(attempt.dispatch());
  }

  private Optional<Message.Refused> decisionRefusal(Message.Dispatch dispatch) {
    if (decisions.isClosed(dispatch.attempt().holder())) {
      return notRun(dispatch, ErrorCode.FENCED, "the holder is closed");
    }
    if (crashes.isConvicted(dispatch.fingerprint())) {
      return notRun(dispatch, ErrorCode.REQUEST_CONVICTED, "the request crashes its engines");
    }
    return Optional.empty();
  }

  private Optional<Message.Refused> keyRefusal(Message.Dispatch dispatch, long nowMillis) {
    if (dispatch.remainingMillis() <= 0) {
      return notRun(dispatch, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed");
    }
    if (memory.hasTombstone(dispatch.key())) {
      return notRun(dispatch, ErrorCode.KEY_EXPIRED, "the key was given up");
    }
    return dispatch.urgency().isRepeatable() ? Optional.empty() : onceRefusal(dispatch, nowMillis);
  }

  private Optional<Message.Refused> onceRefusal(Message.Dispatch dispatch, long nowMillis) {
    if (memory.mayHaveRun(dispatch.key())) {
      return unknown(dispatch, "another attempt of the key was received");
    }
    if (memory.isKeyForgotten(dispatch.issuedAtMillis())) {
      return unknown(dispatch, "the key is older than what is remembered");
    }
    if (dispatch.issuedAtMillis() > nowMillis + MAX_CLOCK_SKEW_MILLIS) {
      return notRun(dispatch, ErrorCode.INVALID_REQUEST, "the key was issued in the future");
    }
    return Optional.empty();
  }

  private static Optional<Message.Refused> notRun(
      Message.Dispatch dispatch, ErrorCode code, String message) {
    return Optional.of(new Message.Refused(dispatch.attempt(), code, message, RunState.NOT_RUN, 0));
  }

  private static Optional<Message.Refused> unknown(Message.Dispatch dispatch, String message) {
    return Optional.of(
        new Message.Refused(
            dispatch.attempt(), ErrorCode.OUTCOME_UNKNOWN, message, RunState.UNKNOWN, 0));
  }
}
