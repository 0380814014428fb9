package io.snipeloom.state;

/**
 * A top-up, which adds tokens to a budget once and can neither be changed nor removed.
 *
 * @param id the identifier
 * @param budget the budget
 * @param tokens the tokens added, at least 1
 */
public record TopUp(TopUpId id, BudgetId budget, long tokens) {
  /** Checks that the identifier is there. */
  public TopUp {
    Entry.required("id", id);
  }
}
