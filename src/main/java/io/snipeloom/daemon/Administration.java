package io.snipeloom.daemon;

import io.snipeloom.coordination.BudgetReader;
import io.snipeloom.coordination.ConfigurationAuthority;
import io.snipeloom.coordination.LedgerReader;
import io.snipeloom.coordination.OperatorActions;
import io.snipeloom.coordination.StatusReader;

/**
 * The services behind the administration API and the console. To serve the API, call {@code
 * HttpHost.of("admin", address, port, limits, administration)}; to serve the console as well, also
 * pass a {@link ConsoleSecurity}.
 *
 * @param configuration reads and changes the configuration
 * @param budgets reads the balances of budgets
 * @param ledger reads the bill lines
 * @param status reads the state of the fleet as this instance sees it
 * @param actions the actions that only operators may take, such as writing off a holder
 * @param operators authenticates operators by their tokens
 */
public record Administration(
    ConfigurationAuthority configuration,
    BudgetReader budgets,
    LedgerReader ledger,
    StatusReader status,
    OperatorActions actions,
    OperatorTokens operators) {

  /** The name of the HTTP host that serves the administration API and the console. */
  public static final String SURFACE = "admin";
}
