package io.snipeloom.state;

/**
 * A prepaid budget of a customer; its size is the sum of its top-ups.
 *
 * @param id the identifier
 * @param customer the customer that owns the budget
 */
public record Budget(BudgetId id, CustomerId customer) implements ConfigurationEntry {
  /** Checks that the identifier is there. */
  public Budget {
    Entry.required("id", id);
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
