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
 * @param homes the regions in which the customer's requests may be processed
 */
public record CustomerConfiguration(
    CustomerId id,
    List<String> apiKeys,
    OptionalInt priority,
    OptionalLong prepaidTokens,
    Homes homes) {

  /** Copies the keys. */
  public CustomerConfiguration {
    apiKeys = List.copyOf(apiKeys);
  }

  /** Creates a customer whose requests may be processed everywhere. */
  public CustomerConfiguration(
      CustomerId id, List<String> apiKeys, OptionalInt priority, OptionalLong prepaidTokens) {
    this(id, apiKeys, priority, prepaidTokens, Homes.EVERYWHERE);
  }
}
