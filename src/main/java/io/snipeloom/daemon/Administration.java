package io.snipeloom.daemon;

import io.snipeloom.coordination.BudgetReader;
import io.snipeloom.coordination.ConfigurationAuthority;
import io.snipeloom.coordination.LedgerReader;
import io.snipeloom.coordination.OperatorActions;
import io.snipeloom.coordination.StatusReader;

/**
 * What the administration API and the console work on. Host them with {@code HttpHost.of("admin",
 * address, port, limits, administration)}, and pass a {@link ConsoleSecurity} too for the console.
 *
 * @param configuration the configuration
 * @param budgets the balances
 * @param ledger the ledger
 * @param status the status
 * @param actions the decisions that only operators take
 * @param operators the operators
 */
public record Administration(
    ConfigurationAuthority configuration,
    BudgetReader budgets,
    LedgerReader ledger,
    StatusReader status,
    OperatorActions actions,
    OperatorTokens operators) {

  /** The surface on which the administration API and the console are hosted. */
  public static final String SURFACE = "admin";
}
