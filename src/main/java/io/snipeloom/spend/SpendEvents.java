package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;
import java.util.Set;

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
   * A write of claims and returns was refused, since another instance had written to the partition.
   *
   * @param customers the customers whose claimed totals would have changed
   * @param failures how many writes in a row were refused
   */
  void onConflict(Set<CustomerId> customers, int failures);

  /**
   * This incarnation inherited tokens that the previous one left unused.
   *
   * @param tokens the tokens that were inherited, 0 if there were none
   * @param strandedTokens the tokens that the previous one had not used when it last reported, and
   *     that nobody can spend any more, because it may have used them since
   */
  void onInherited(CustomerId customer, long tokens, long strandedTokens);

  /**
   * Tells regularly where the tokens of a customer are.
   *
   * @param customer a customer of whom this instance held tokens
   * @param status the tokens by place
   */
  void onStatus(CustomerId customer, SpendStatus status);

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
   * @param ageNanos the most that the report can have been old at the start of this incarnation;
   *     meaningful only if it is known
   * @param by how the age is known; if it is unknown, nothing is inherited
   */
  void onPredecessor(String writer, long ageNanos, ElapsedBy by);

  /**
   * The store came back from an older copy, and no tokens are claimed for now.
   *
   * @param era the era of the store
   * @param asked the instances that are asked for their claims
   */
  void onClaimsHeld(long era, Set<String> asked);

  /**
   * Tokens may be claimed again.
   *
   * @param era the era of the store
   * @param heldNanos how long none were claimed
   * @param unheard the instances that have not answered
   */
  void onClaimsResumed(long era, long heldNanos, Set<String> unheard);

  /**
   * The claimed total of a customer changed by a claim that the store has lost.
   *
   * @param claimedTokens the claimed total with it
   */
  void onClaimRestored(CustomerId customer, long claimedTokens);

  /** How the age of a usage report of the previous incarnation is known. */
  enum ElapsedBy {
    /** Both incarnations read the same monotonic clock. */
    MONOTONIC_CLOCK,
    /** The clocks of the fleet bound it, since the machine has lost power. */
    FLEET_CLOCK,
    /** It is unknown. */
    UNKNOWN
  }
}
