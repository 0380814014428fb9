package io.snipeloom.state;

import java.util.Map;

/**
 * The account of one budget at a log offset. Each token is in exactly one place: {@code toppedUp =
 * pool + held + consumed}.
 *
 * @param toppedUp the sum of all top-ups
 * @param pool the tokens available for claims
 * @param remaining the unspent tokens of each holder, closed holders included
 * @param consumed the tokens consumed, written-off tokens included
 * @param billed the tokens billed, at most the tokens consumed
 * @param stranded the part of {@code remaining} that belongs to closed holders
 * @param writtenOff the part of {@code consumed} that was written off
 * @param overdrawn the tokens consumed beyond those held and not yet deducted from the pool; not
 *     part of {@code consumed}
 * @param unmetDemand whether the last claim was granted fewer tokens than it needed and no top-up
 *     has followed
 */
public record BudgetAccount(
    long toppedUp,
    long pool,
    Map<Incarnation, Long> remaining,
    long consumed,
    long billed,
    long stranded,
    long writtenOff,
    long overdrawn,
    boolean unmetDemand) {

  /** Copies the map of holders. */
  public BudgetAccount {
    remaining = Map.copyOf(remaining);
  }

  /** Returns the total of the unspent tokens of all holders. */
  public long held() {
    return remaining.values().stream().mapToLong(Long::longValue).sum();
  }
}
