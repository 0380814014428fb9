package io.snipeloom.coordination;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.RequestClass;

/**
 * A request for admission to an upstream.
 *
 * @param customer the customer; slots are shared fairly between customers
 * @param requestClass the request class
 * @param cost the weight of the request in the share of its customer, such as its reserved tokens;
 *     raised to 1 if lower
 * @param deadlineNanos the deadline on the queue's clock, in nanoseconds
 */
public record AdmissionRequest(
    CustomerId customer, RequestClass requestClass, long cost, long deadlineNanos) {

  /** Raises a cost below 1 to 1. */
  public AdmissionRequest {
    cost = Math.max(1, cost);
  }
}
