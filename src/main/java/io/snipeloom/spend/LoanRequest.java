package io.snipeloom.spend;

import io.snipeloom.state.CustomerId;

/**
 * What an instance that cannot claim asks of the others.
 *
 * @param customer the customer
 * @param missingTokens the tokens without which the first request that waits is refused
 * @param wantedTokens the tokens that last for a while, at least those missing
 */
public record LoanRequest(CustomerId customer, long missingTokens, long wantedTokens) {

  /** Checks the amounts. */
  public LoanRequest {
    if (missingTokens < 1 || wantedTokens < missingTokens) {
      throw new IllegalArgumentException("missing or wanted tokens out of range");
    }
  }
}
