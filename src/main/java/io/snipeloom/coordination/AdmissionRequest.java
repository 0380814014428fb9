package io.snipeloom.coordination;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RequestClass;

/**
 * A request that asks to be sent to an upstream.
 *
 * @param customer the customer, between whom turns are shared evenly
 * @param requestClass the request class
 * @param cost the weight of the request in the share of its customer, such as its reserved tokens;
 *     at least 1
 * @param deadlineNanos the deadline on the clock of the queue, in nanoseconds
 */
public record AdmissionRequest(
    CustomerId customer, RequestClass requestClass, long cost, long deadlineNanos) {

  /** Bounds the cost. */
  public AdmissionRequest {
    cost = Math.max(1, cost);
  }
}
