package io.snipeloom.state;

import java.util.List;

/**
 * A customer, whose requests are paid from its prepaid budgets.
 *
 * @param name the name shown to operators; null is replaced by an empty name
 * @param apiKeyHashes the SHA-256 hash of each accepted API key, in lower-case hexadecimal; null is
 *     replaced by an empty list
 * @param defaultBudget the budget that pays for requests that name no budget; null if there is none
 * @param policy how claims on the budgets of this customer are sized; null is replaced by {@link
 *     SpendPolicy#AVAILABLE}
 */
public record Customer(
    CustomerId id,
    String name,
    List<String> apiKeyHashes,
    BudgetId defaultBudget,
    SpendPolicy policy)
    implements ConfigurationEntry {

  /** Checks the identifier, copies the hashes and applies the defaults. */
  public Customer {
    Entry.requirePresent("id", id);
    Identifiers.requireWellFormed("customer id", id.value());
    name = name == null ? "" : name;
    apiKeyHashes = apiKeyHashes == null ? List.of() : List.copyOf(apiKeyHashes);
    policy = policy == null ? SpendPolicy.AVAILABLE : policy;
  }

  @Override
  public ConfigurationSection section() {
    return ConfigurationSection.CUSTOMERS;
  }

  @Override
  public String entryId() {
    return id.value();
  }
}
