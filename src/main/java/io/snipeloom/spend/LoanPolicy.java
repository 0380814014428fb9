package io.snipeloom.spend;

/** Determines how many tokens an instance requests as a loan and how many it lends. Stateless. */
final class LoanPolicy {
  /** How long a loan should last, in seconds, so that not every request needs a loan of its own. */
  private static final double LOAN_SECONDS = 1;

  /**
   * While the lender cannot claim more tokens, it lends at most its available tokens divided by
   * this number at a time.
   */
  private static final int SCARCE_LOAN_DIVISOR = 2;

  private LoanPolicy() {}

  /** Returns the tokens to request: those missing plus the expected usage for a while. */
  static long wanted(long missingTokens, double tokensPerSecond) {
    return missingTokens + (long) (Math.max(0, tokensPerSecond) * LOAN_SECONDS);
  }

  /**
   * Returns the tokens to lend.
   *
   * @param request the request of the other instance
   * @param available the available tokens of the lender
   * @param refillable whether the lender can replace the tokens by a claim from the ledger
   */
  static long lent(LoanRequest request, long available, boolean refillable) {
    return Math.min(
        request.wantedTokens(), refillable ? available : available / SCARCE_LOAN_DIVISOR);
  }
}
