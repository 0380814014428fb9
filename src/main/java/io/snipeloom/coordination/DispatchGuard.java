package io.snipeloom.coordination;

import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RunState;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a sidecar accepts an attempt. Every refusal states whether the request has run,
 * has not run, or that this is unknown.
 *
 * <p>Has no side effects. Not thread-safe.
 */
final class DispatchGuard {
  private static final long MAX_CLOCK_SKEW_MILLIS = Duration.ofMinutes(5).toMillis();

  /**
   * Whether the sidecar process accepts attempts and, if not, the error with which it refuses them.
   */
  enum Readiness {
    STARTING(ErrorCode.NOT_READY, "the sidecar is starting"),
    READY(null, ""),
    BACK_END_DOWN(ErrorCode.UPSTREAM_FAILED, "the back end is down"),
    PAUSED(ErrorCode.CONNECTION_LOST, "the sidecar process was paused"),
    LEAVING(ErrorCode.LEAVING, "the sidecar is leaving and did not run the request"),
    REPLACED(ErrorCode.FENCED, "the sidecar was replaced by a later incarnation");

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
  private final CrashSuspects crashes;
  private final AttemptMemory memory;

  DispatchGuard(
      Incarnation self, DecisionLookup decisions, CrashSuspects crashes, AttemptMemory memory) {
    this.self = self;
    this.decisions = decisions;
    this.crashes = crashes;
    this.memory = memory;
  }

  /** Returns the refusal of a newly received attempt; empty if the attempt may be queued. */
  Optional<Message.Refused> refusal(
      Message.Dispatch dispatch, Readiness readiness, long nowMillis) {
    if (memory.stateOf(dispatch.attempt()) == CallState.UNKNOWN) {
      return unknown(dispatch, "the attempt is older than the oldest recorded attempt");
    }
    if (!dispatch.sidecar().equals(self)) {
      return notRun(
          dispatch, ErrorCode.FENCED, "the attempt is addressed to sidecar " + dispatch.sidecar());
    }
    return readiness
        .refusal(dispatch)
        .or(() -> decisionRefusal(dispatch))
        .or(() -> keyRefusal(dispatch, nowMillis));
  }

  /** Returns the refusal of a queued attempt that is about to start; empty if it may start. */
  Optional<Message.Refused> startRefusal(SidecarAttempt attempt, long nowNanos) {
    if (attempt.isExpired(nowNanos)) {
      return notRun(attempt.dispatch(), ErrorCode.DEADLINE_EXCEEDED, "the deadline passed");
    }
    return decisionRefusal(attempt.dispatch());
  }

  private Optional<Message.Refused> decisionRefusal(Message.Dispatch dispatch) {
    if (decisions.isClosed(dispatch.attempt().holder())) {
      return notRun(dispatch, ErrorCode.FENCED, "the budget holder is closed");
    }
    if (crashes.isConvicted(dispatch.fingerprint())) {
      return notRun(
          dispatch,
          ErrorCode.REQUEST_CONVICTED,
          "the request is refused because it crashed engines");
    }
    return Optional.empty();
  }

  private Optional<Message.Refused> keyRefusal(Message.Dispatch dispatch, long nowMillis) {
    if (dispatch.remainingMillis() <= 0) {
      return notRun(dispatch, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed");
    }
    if (memory.hasTombstone(dispatch.key())) {
      return notRun(
          dispatch,
          ErrorCode.KEY_EXPIRED,
          "the request key was cancelled before this attempt arrived");
    }
    return dispatch.urgency().isRepeatable()
        ? Optional.empty()
        : notRepeatableRefusal(dispatch, nowMillis);
  }

  private Optional<Message.Refused> notRepeatableRefusal(
      Message.Dispatch dispatch, long nowMillis) {
    if (memory.mayHaveRun(dispatch.key())) {
      return unknown(dispatch, "another attempt with this request key may have run");
    }
    if (memory.isKeyForgotten(dispatch.issuedAtMillis())) {
      return unknown(dispatch, "the request key is older than the oldest recorded key");
    }
    if (dispatch.issuedAtMillis() > nowMillis + MAX_CLOCK_SKEW_MILLIS) {
      return notRun(
          dispatch,
          ErrorCode.INVALID_REQUEST,
          "the issue time of the request key is in the future");
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
