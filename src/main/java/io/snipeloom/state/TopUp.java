package io.snipeloom.state;

/**
 * A top-up, which adds tokens to a budget once. It can be neither changed nor removed.
 *
 * @param tokens the number of added tokens; {@link EntryRules} requires at least 1
 */
public record TopUp(TopUpId id, BudgetId budget, long tokens) implements ConfigurationEntry {
  /** Checks that the identifier is present. */
  public TopUp {
    Entry.requirePresent("id", id);
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
