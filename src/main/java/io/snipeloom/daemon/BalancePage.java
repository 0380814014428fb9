package io.snipeloom.daemon;

import io.snipeloom.coordination.BudgetBalance;
import java.util.List;

/**
 * A run of balances.
 *
 * @param balances the balances
 * @param next the budget to pass as {@code after} for the next run; null at the end
 */
record BalancePage(List<BudgetBalance> balances, String next) {}
