package io.snipeloom.coordination;

import io.snipeloom.state.BudgetId;
import io.snipeloom.state.CustomerId;
import java.util.List;

/**
 * Where the tokens of a budget are, as of one log offset. The tokens topped up equal the pool plus
 * the tokens held, consumed and stranded.
 *
 * @param budget the budget
 * @param customer its customer
 * @param asOfOffset the log offset up to which the balance counts
 * @param toppedUpTokens the sum of the top-ups
 * @param poolTokens the tokens that nobody has claimed
 * @param holders the claims
 * @param consumedTokens the tokens that attempts consumed
 * @param billedTokens the tokens on bill lines
 * @param strandedTokens the tokens of closed holders that wait for a settlement or a write-off
 */
public record BudgetBalance(
    BudgetId budget,
    CustomerId customer,
    long asOfOffset,
    long toppedUpTokens,
    long poolTokens,
    List<HolderBalance> holders,
    long consumedTokens,
    long billedTokens,
    long strandedTokens) {

  /** Copies the claims. */
  public BudgetBalance {
    holders = List.copyOf(holders);
  }
}
