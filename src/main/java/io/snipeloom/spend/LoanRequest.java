package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;

/**
 * A request for tokens by an instance that cannot claim enough of them from the ledger.
 *
 * @param customer the customer
 * @param missingTokens the tokens that the first waiting request lacks, at least 1
 * @param wantedTokens the missing tokens plus the expected usage for a while, at least {@code
 *     missingTokens}
 */
public record LoanRequest(CustomerId customer, long missingTokens, long wantedTokens) {

  /** Validates the amounts. */
  public LoanRequest {
    if (missingTokens < 1 || wantedTokens < missingTokens) {
      throw new IllegalArgumentException(
          "missing tokens must be positive and wanted tokens at least as many");
    }
  }

  /**
   * Returns the request for what is left when a part has been lent.
   *
   * @param lentTokens the tokens that were lent, fewer than the missing ones
   */
  public LoanRequest less(long lentTokens) {
    return new LoanRequest(customer, missingTokens - lentTokens, wantedTokens - lentTokens);
  }
}
