package io.snipeloom.state;

import java.util.List;

/**
 * A customer, whose requests are paid from its prepaid budgets.
 *
 * @param id the identifier
 * @param name the name shown to operators
 * @param apiKeyHashes SHA-256 of each accepted API key, in lower-case hexadecimal
 * @param defaultBudget the budget that pays when a request names none; null if there is none
 * @param policy how claims on the budgets of this customer are sized
 */
public record Customer(
    CustomerId id,
    String name,
    List<String> apiKeyHashes,
    BudgetId defaultBudget,
    SpendPolicy policy)
    implements ConfigurationEntry {

  /** Copies the hashes and fills in the defaults. */
  public Customer {
    Entry.required("id", id);
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
