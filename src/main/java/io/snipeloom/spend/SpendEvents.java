package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;

/** Takes note of what happens to claims, for logs and metrics. */
public interface SpendEvents {

  /**
   * A claim was granted.
   *
   * @param customer the customer
   * @param tokens the tokens
   * @param claimedTokens the claimed total of all instances
   * @param limit the prepaid tokens
   */
  void onGranted(CustomerId customer, long tokens, long claimedTokens, long limit);

  /**
   * Tokens are back in the ledger.
   *
   * @param customer the customer
   * @param tokens the tokens
   */
  void onReturned(CustomerId customer, long tokens);

  /**
   * The outcome of a write can no longer be found out; its tokens count as claimed if it was done.
   *
   * @param customer the customer
   * @param tokens the change of the claimed total
   */
  void onClaimLost(CustomerId customer, long tokens);

  /**
   * Tokens that the incarnation before left unused were taken over.
   *
   * @param customer the customer
   * @param tokens the tokens
   */
  void onInherited(CustomerId customer, long tokens);

  /**
   * Another instance lent tokens to this one.
   *
   * @param customer the customer
   * @param tokens the tokens
   */
  void onBorrowed(CustomerId customer, long tokens);

  /**
   * This instance lent tokens to another one.
   *
   * @param customer the customer
   * @param tokens the tokens
   */
  void onLent(CustomerId customer, long tokens);

  /**
   * The last report of the incarnation before was found.
   *
   * @param writer the incarnation
   * @param ageNanos the age of the report, if it is on the same clock
   * @param sameClock whether the age can be told, without which nothing is taken over
   */
  void onPredecessor(String writer, long ageNanos, boolean sameClock);
}
