package io.snipeloom.daemon;

import io.snipeloom.coordination.BudgetBalance;
import java.util.List;

/**
 * A page of budget balances.
 *
 * @param balances the balances, in the order of their budgets
 * @param next the budget to pass as {@code after} to get the next page; null on the last page
 */
record BalancePage(List<BudgetBalance> balances, String next) {}
