package io.snipeloom.coordination;

import io.snipeloom.state.BudgetId;
import java.util.List;
import java.util.Optional;

/** Reads the balances of budgets. Implementations are thread-safe and do not block. */
public interface BudgetReader {

  /**
   * Returns the balance of a budget.
   *
   * @param budget the budget
   * @return the balance; empty if there is no such budget
   */
  Optional<BudgetBalance> balance(BudgetId budget);

  /**
   * Returns balances in the order of the budget identifiers.
   *
   * @param after the identifier after which to start; null for the start
   * @param limit the most balances
   * @return the balances
   */
  List<BudgetBalance> balances(BudgetId after, int limit);
}
