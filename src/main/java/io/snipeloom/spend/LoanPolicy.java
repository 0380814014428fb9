package io.snipeloom.spend;

/** Determines how many tokens an instance requests as a loan and how many it lends. Stateless. */
final class LoanPolicy {
  /** How long a loan should last, in seconds, so that not every request needs a loan of its own. */
  private static final double LOAN_SECONDS = 1;

  private LoanPolicy() {}

  /** Returns the tokens to request: those missing plus the expected usage for a while. */
  static long wanted(long missingTokens, double tokensPerSecond) {
    return missingTokens + (long) (Math.max(0, tokensPerSecond) * LOAN_SECONDS);
  }

  /**
   * Returns the tokens to lend.
   *
   * @param role what the lender does for the customer
   * @param request the request of the other instance
   * @param available the available tokens of the lender
   * @param refillable whether the lender can replace the tokens by a claim from the ledger
   */
  static long lent(ClaimRole role, LoanRequest request, long available, boolean refillable) {
    return refillable ? Math.min(request.wantedTokens(), available) : role.loan(request, available);
  }
}
