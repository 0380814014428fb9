package io.snipeloom.state;

import java.util.Map;

/**
 * The account of one budget as of an offset. Each token is in exactly one place: {@code toppedUp =
 * pool + held + consumed}.
 *
 * @param toppedUp the sum of the top-ups
 * @param pool the tokens that nobody holds
 * @param remaining the unspent tokens of each holder, closed holders included
 * @param consumed the tokens consumed, written-off tokens included
 * @param billed the tokens on bills, at most the tokens consumed
 * @param stranded the part of {@code remaining} that belongs to closed holders
 * @param writtenOff the part of {@code consumed} that was written off
 * @param overdrawn tokens consumed beyond every claim and not yet covered by the pool
 * @param unmetDemand whether the last claim was granted less than it needed
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

  /** Copies the holders. */
  public BudgetAccount {
    remaining = Map.copyOf(remaining);
  }

  /**
   * Returns the unspent tokens of all holders together.
   *
   * @return the tokens
   */
  public long held() {
    return remaining.values().stream().mapToLong(Long::longValue).sum();
  }
}
