package io.snipeloom.routing;

import io.snipeloom.state.CustomerId;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The configuration of a customer.
 *
 * @param id the customer
 * @param apiKeys the API keys of the customer's requests
 * @param priority the priority of the customer's requests, 0 being the highest; overrides the
 *     priority of the route
 * @param prepaidTokens the total number of tokens that the customer may consume; empty if unlimited
 */
public record CustomerConfiguration(
    CustomerId id, List<String> apiKeys, OptionalInt priority, OptionalLong prepaidTokens) {

  /** Copies the keys. */
  public CustomerConfiguration {
    apiKeys = List.copyOf(apiKeys);
  }
}
