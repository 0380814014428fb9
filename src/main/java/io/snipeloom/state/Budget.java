package io.snipeloom.state;

/**
 * A prepaid budget of a customer. Its size is the sum of its top-ups.
 *
 * @param customer the customer that owns the budget; null is accepted here and reported by {@link
 *     EntryRules}
 */
public record Budget(BudgetId id, CustomerId customer) implements ConfigurationEntry {
  /** Checks that the identifier is present. */
  public Budget {
    Entry.requirePresent("id", id);
  }

  @Override
  public ConfigurationSection section() {
    return ConfigurationSection.BUDGETS;
  }

  @Override
  public String entryId() {
    return id.value();
  }
}
