package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/** Builds the messages, records and errors of a {@link RequestFlow}. */
final class FlowMessages {
  private static final Duration FAILED_RETRY_AFTER = Duration.ofSeconds(1);

  private FlowMessages() {}

  /** Returns the message that sends an attempt to a sidecar incarnation. */
  static Message.Dispatch dispatch(
      RouterContext context, CallerRequest request, AttemptId id, Incarnation sidecar) {
    long remainingNanos = request.deadlineNanos() - context.nowNanos();
    boolean alone = context.replica().read(state -> state.isSuspect(request.fingerprint()));
    return new Message.Dispatch(
        id,
        request.key(),
        request.issuedAtMillis(),
        sidecar,
        request.budget(),
        request.requestClass().id(),
        request.requestClass().upstream(),
        request.requestClass().urgency(),
        request.upperBoundTokens(),
        request.maxOutputTokens(),
        TimeUnit.NANOSECONDS.toMillis(remainingNanos),
        request.keyed(),
        request.fingerprint(),
        alone,
        request.call(),
        request.traceparent());
  }

  /**
   * Returns the settlement of an attempt whose consumption is unknown, with its upper bound as the
   * estimate.
   */
  static DecisionRecord.AttemptSettled estimate(CallerRequest request, AttemptId id) {
    return new DecisionRecord.AttemptSettled(
        id,
        request.key(),
        request.issuedAtMillis(),
        request.budget(),
        request.requestClass().id(),
        request.upperBoundTokens(),
        false,
        false);
  }

  /**
   * Returns the tokens that an ended attempt consumed; its upper bound for a call to a plain
   * service.
   */
  static long consumedTokens(CallerRequest request, Message.AnswerEnd end) {
    return request.model() == null
        ? request.upperBoundTokens()
        : end.promptTokens() + end.outputTokens();
  }

  /** Returns the error for an answer that ended before it was complete. */
  static SnipeloomException incomplete(
      CallerRequest request, AttemptId id, InstanceId sidecar, Message.AnswerEnd end) {
    ErrorCode code = end.error() == null ? ErrorCode.UPSTREAM_FAILED : end.error();
    return SnipeloomException.of(code, end.message())
        .withOrigin("answer", id.holder() + "/" + sidecar)
        .withRunState(request.isRepeatable() ? RunState.RAN : RunState.UNKNOWN)
        .withRetryAfter(FAILED_RETRY_AFTER);
  }

  /** Returns the error for an attempt that a sidecar refused. */
  static SnipeloomException refused(InstanceId sidecar, Message.Refused refusal) {
    return SnipeloomException.of(refusal.code(), refusal.message())
        .withOrigin("dispatch", sidecar.value())
        .withRunState(refusal.runState())
        .withRetryAfter(Duration.ofMillis(refusal.retryAfterMillis()));
  }

  /** Returns the failure of a stage as a {@link SnipeloomException}. */
  static SnipeloomException unwrapped(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    if (cause instanceof SnipeloomException known) {
      return known;
    }
    return SnipeloomException.of(ErrorCode.INTERNAL, String.valueOf(cause)).withCause(cause);
  }
}
