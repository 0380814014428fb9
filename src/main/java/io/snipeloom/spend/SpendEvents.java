package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;

/** Receives events of claims, returns and loans for logs and metrics. */
public interface SpendEvents {

  /**
   * A claim was granted.
   *
   * @param tokens the tokens that were granted
   * @param claimedTokens the claimed total of all instances
   * @param limit the prepaid total
   */
  void onGranted(CustomerId customer, long tokens, long claimedTokens, long limit);

  /**
   * Tokens were returned to the ledger.
   *
   * @param tokens the tokens that were returned
   */
  void onReturned(CustomerId customer, long tokens);

  /**
   * The outcome of a write can no longer be determined. If the write succeeded, its change remains
   * part of the claimed total.
   *
   * @param tokens the change of the claimed total, negative for a return
   */
  void onClaimLost(CustomerId customer, long tokens);

  /**
   * This incarnation inherited tokens that the previous one left unused.
   *
   * @param tokens the tokens that were inherited
   */
  void onInherited(CustomerId customer, long tokens);

  /**
   * This instance borrowed tokens from another one.
   *
   * @param tokens the tokens that were borrowed
   */
  void onBorrowed(CustomerId customer, long tokens);

  /**
   * This instance lent tokens to another one.
   *
   * @param tokens the tokens that were lent
   */
  void onLent(CustomerId customer, long tokens);

  /**
   * The last usage report of the previous incarnation was read.
   *
   * @param writer the name of the previous incarnation
   * @param ageNanos the age of the report at the start of this incarnation; meaningful only if
   *     {@code sameClock} is true
   * @param sameClock whether the report refers to the same clock; if false, its age is unknown and
   *     nothing is inherited
   */
  void onPredecessor(String writer, long ageNanos, boolean sameClock);
}
