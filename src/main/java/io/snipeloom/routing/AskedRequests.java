package io.snipeloom.routing;

import io.snipeloom.state.CustomerId;

/**
 * The model requests of one kind that an instance received for a customer. Immutable.
 *
 * @param kind the kind of request, which is the name of its route
 * @param customer the customer
 * @param requests the number of requests, at least 0
 */
public record AskedRequests(String kind, CustomerId customer, int requests) {

  /** Checks the bounds. */
  public AskedRequests {
    if (requests < 0) {
      throw new IllegalArgumentException("requests must not be negative");
    }
  }
}
