package io.snipeloom.state;

/**
 * A top-up, which adds tokens to a budget once and can neither be changed nor removed.
 *
 * @param id the identifier
 * @param budget the budget
 * @param tokens the tokens added, at least 1
 */
public record TopUp(TopUpId id, BudgetId budget, long tokens) implements ConfigurationEntry {
  /** Checks that the identifier is there. */
  public TopUp {
    Entry.required("id", id);
  }

  @Override
  public ConfigurationSection section() {
    return ConfigurationSection.TOP_UPS;
  }

  @Override
  public String entryId() {
    return id.value();
  }
}
