package io.snipeloom.daemon;

import io.snipeloom.coordination.LogReplica;
import io.snipeloom.state.CallRecord;
import io.snipeloom.state.Customer;
import io.snipeloom.state.Entry;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import java.time.InstantSource;
import java.util.UUID;

/**
 * Answers the questions of callers that need no back end.
 *
 * <p>Thread-safe.
 */
final class CallerDirectory {
  private final LogReplica replica;
  private final InstantSource clock;

  CallerDirectory(LogReplica replica, InstantSource clock) {
    this.replica = replica;
    this.clock = clock;
  }

  /**
   * Returns the models that upstreams serve.
   *
   * @return the models in the order of their upstreams
   */
  ModelList models() {
    return ModelList.of(
        replica.read(state -> state.configuration()).upstreams().stream()
            .map(Entry::value)
            .flatMap(upstream -> upstream.models().stream())
            .distinct()
            .toList());
  }

  /**
   * Issues a request key.
   *
   * @param customer the customer
   * @return the key
   */
  IssuedKey issueKey(Customer customer) {
    return new IssuedKey(
        RequestKey.generate(customer.id(), clock.millis(), UUID.randomUUID()).token());
  }

  /**
   * Returns what is recorded of a call.
   *
   * @param customer the customer
   * @param token the request key
   * @return the status
   * @throws SnipeloomException with {@link ErrorCode#NOT_FOUND} if nothing is recorded
   */
  CallStatusBody status(Customer customer, String token) {
    RequestKey key = RequestKey.of(customer.id(), token);
    CallRecord call =
        replica
            .read(state -> state.call(key))
            .orElseThrow(
                () ->
                    SnipeloomException.of(ErrorCode.NOT_FOUND, "no call is recorded for this key")
                        .withRunState(RunState.UNKNOWN));
    RunState run = call.hasOutcome() ? call.outcome() : RunState.UNKNOWN;
    boolean settled = run != RunState.UNKNOWN;
    return new CallStatusBody(
        token, run.text(), settled, call.attempt().sequence(), call.sidecar().value());
  }
}
