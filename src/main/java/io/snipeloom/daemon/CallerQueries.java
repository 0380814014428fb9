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
 * Handles the requests of callers that need no back end.
 *
 * <p>Thread-safe.
 */
final class CallerQueries {
  private final LogReplica replica;
  private final InstantSource clock;

  CallerQueries(LogReplica replica, InstantSource clock) {
    this.replica = replica;
    this.clock = clock;
  }

  /**
   * Returns the models that the upstreams serve.
   *
   * @return the models without duplicates, in the order of their upstreams
   */
  ModelList models() {
    return ModelList.of(
        replica.read(state -> state.configuration()).upstreams().stream()
            .map(Entry::value)
            .flatMap(upstream -> upstream.models().stream())
            .distinct()
            .toList());
  }

  /** Issues a request key for a customer. */
  IssuedKey issueKey(Customer customer) {
    return new IssuedKey(
        RequestKey.generate(customer.id(), clock.millis(), UUID.randomUUID()).token());
  }

  /**
   * Returns the recorded state of a non-idempotent call.
   *
   * @param customer the customer who made the call
   * @param token the request key of the call
   * @throws SnipeloomException with {@link ErrorCode#NOT_FOUND} if no call is recorded for the key
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
