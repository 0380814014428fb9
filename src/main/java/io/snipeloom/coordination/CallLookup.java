package io.snipeloom.coordination;

import io.snipeloom.protocol.CallState;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RunState;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Looks up the state of attempts and request keys. Confined to the sidecar's executor. */
final class CallLookup {
  private final AttemptMemory memory;
  private final AttemptTable attempts;
  private final InstantSource clock;
  private final LongSupplier nanoClock;

  CallLookup(
      AttemptMemory memory, AttemptTable attempts, InstantSource clock, LongSupplier nanoClock) {
    this.memory = memory;
    this.attempts = attempts;
    this.clock = clock;
    this.nanoClock = nanoClock;
  }

  /** Returns the refusal that is sent to a reader if the answer of the attempt is not buffered. */
  Message.Refused answerUnavailable(AttemptId attempt) {
    CallState state = memory.stateOf(attempt);
    if (state == CallState.NOT_RUN) {
      return new Message.Refused(
          attempt,
          ErrorCode.NOT_FOUND,
          "the attempt did not run at this sidecar",
          RunState.NOT_RUN,
          0);
    }
    boolean ran = state == CallState.DONE || state == CallState.RAN;
    return new Message.Refused(
        attempt,
        ErrorCode.OUTCOME_UNKNOWN,
        "the answer is no longer available",
        ran ? RunState.RAN : RunState.UNKNOWN,
        0);
  }

  /**
   * Returns the state of a request. Adds a tombstone if the query asks for one and the request was
   * never received.
   */
  Message.CallStatus answer(Message.CallQuery query) {
    Optional<AttemptId> found =
        Optional.ofNullable(query.attempt()).or(() -> memory.attemptOf(query.key()));
    if (found.isEmpty()) {
      return answerUnknownKey(query);
    }
    CallState state = memory.stateOf(found.get());
    if (state == CallState.NEVER_RECEIVED && query.plantTombstone()) {
      memory.addTombstone(found.get(), nanoClock.getAsLong());
    }
    return new Message.CallStatus(query.queryId(), reportedState(state, found.get()), found.get());
  }

  private Message.CallStatus answerUnknownKey(Message.CallQuery query) {
    long issued = query.key().issuedAtMillis().orElse(clock.millis());
    boolean hasIssueTime = query.key().issuedAtMillis().isPresent();
    boolean forgotten =
        memory.isKeyForgotten(issued) || (!hasIssueTime && memory.isKeyForgotten(0));
    if (forgotten) {
      return new Message.CallStatus(query.queryId(), CallState.UNKNOWN, null);
    }
    if (query.plantTombstone()) {
      memory.addKeyTombstone(query.key(), issued, nanoClock.getAsLong());
    }
    return new Message.CallStatus(query.queryId(), CallState.NEVER_RECEIVED, null);
  }

  private CallState reportedState(CallState state, AttemptId attempt) {
    boolean evicted = state == CallState.DONE && attempts.get(attempt).isEmpty();
    return evicted ? CallState.RAN : state;
  }
}
