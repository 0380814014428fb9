package io.snipeloom.coordination;

import io.snipeloom.protocol.HttpCall;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ModelId;
import io.snipeloom.state.RequestClass;
import io.snipeloom.state.RequestKey;

/**
 * A validated request of a caller.
 *
 * @param key the request key
 * @param issuedAtMillis the issue time of the key, in milliseconds since the epoch
 * @param keyed whether the caller chose the key and may repeat the request
 * @param budget the budget that is charged
 * @param requestClass the request class
 * @param model the requested model; null for a call to a plain service
 * @param call the HTTP call to make at the back end
 * @param upperBoundTokens the maximum number of tokens that one attempt may consume
 * @param maxOutputTokens the maximum number of tokens in the answer
 * @param prefix the hash chain of the prompt
 * @param fingerprint a digest of the request that does not depend on its key
 * @param traceparent the W3C trace context; empty if none
 * @param deadlineNanos the deadline on the router's monotonic clock, in nanoseconds
 */
public record CallerRequest(
    RequestKey key,
    long issuedAtMillis,
    boolean keyed,
    BudgetId budget,
    RequestClass requestClass,
    ModelId model,
    HttpCall call,
    long upperBoundTokens,
    long maxOutputTokens,
    PrefixChain prefix,
    String fingerprint,
    String traceparent,
    long deadlineNanos) {

  /** Returns whether the request may safely run more than once. */
  public boolean isRepeatable() {
    return requestClass.urgency().isRepeatable();
  }
}
