package io.snipeloom.routing;

import io.snipeloom.state.CustomerId;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the configuration says of a customer.
 *
 * @param id the customer
 * @param apiKeys the keys that its requests carry
 * @param priority the urgency of its requests, which goes before that of the route
 * @param prepaidTokens the tokens that it may consume in all; empty if unlimited
 */
public record CustomerConfiguration(
    CustomerId id, List<String> apiKeys, OptionalInt priority, OptionalLong prepaidTokens) {

  /** Copies the keys. */
  public CustomerConfiguration {
    apiKeys = List.copyOf(apiKeys);
  }
}
