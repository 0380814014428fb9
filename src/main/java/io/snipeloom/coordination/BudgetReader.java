package io.snipeloom.coordination;

import io.snipeloom.state.BudgetId;
import java.util.List;
import java.util.Optional;

/** Reads the balances of budgets. Implementations are thread-safe and do not block. */
public interface BudgetReader {

  /**
   * Returns the balance of a budget.
   *
   * @return the balance; empty if there is no such budget
   */
  Optional<BudgetBalance> balance(BudgetId budget);

  /**
   * Returns one page of balances, ordered by budget identifier.
   *
   * @param after the budget identifier after which the page starts, exclusive; null to start with
   *     the first budget
   * @param limit the maximum number of balances
   */
  List<BudgetBalance> balances(BudgetId after, int limit);
}
