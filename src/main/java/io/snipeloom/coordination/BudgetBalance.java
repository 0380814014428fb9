package io.snipeloom.coordination;

import io.snipeloom.state.BudgetId;
import io.snipeloom.state.CustomerId;
import java.util.List;

/**
 * The balance of a budget as of one log offset. The sum of the top-ups equals the sum of the tokens
 * in the pool and of those held, consumed and stranded.
 *
 * @param budget the budget
 * @param customer the customer that owns the budget
 * @param asOfOffset the offset of the last log record included in the balance
 * @param toppedUpTokens the sum of the top-ups
 * @param poolTokens the tokens that no holder has claimed
 * @param holders the tokens claimed by each holder
 * @param consumedTokens the tokens consumed by attempts
 * @param billedTokens the tokens billed on ledger lines
 * @param strandedTokens the tokens of closed holders that await a settlement or a write-off
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

  /** Makes an unmodifiable copy of the holders. */
  public BudgetBalance {
    holders = List.copyOf(holders);
  }
}
