package io.snipeloom.routing;

import io.snipeloom.state.CustomerId;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The configuration of a customer.
 *
 * @param name the name by which replicas know the customer; any text
 * @param apiKeys the API keys of the customer's requests
 * @param priority the priority of the customer's requests, 0 being the highest; overrides the
 *     priority of the route
 * @param prepaidTokens the total number of tokens that the customer may consume; empty if unlimited
 * @param homes the regions in which the customer's requests may be processed
 * @param id identifies the customer
 */
public record CustomerConfiguration(
    String name,
    List<String> apiKeys,
    OptionalInt priority,
    OptionalLong prepaidTokens,
    Homes homes,
    CustomerId id) {

  /** Copies the keys. */
  public CustomerConfiguration {
    apiKeys = List.copyOf(apiKeys);
  }

  /** Creates the configuration of the customer with a name. */
  public static CustomerConfiguration of(
      String name,
      List<String> apiKeys,
      OptionalInt priority,
      OptionalLong prepaidTokens,
      Homes homes) {
    return new CustomerConfiguration(
        name, apiKeys, priority, prepaidTokens, homes, CustomerId.ofName(name));
  }
}
