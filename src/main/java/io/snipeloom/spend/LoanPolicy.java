package io.snipeloom.spend;

/** How many tokens an instance asks for, and how many one lends. Thread-safe, without state. */
final class LoanPolicy {
  /** A loan should last this long, so that not each request needs one, in seconds. */
  private static final double AHEAD_SECONDS = 1;

  /** Of a hand that cannot be filled again, this part is lent at most at a time. */
  private static final int HAND_PART = 2;

  private LoanPolicy() {}

  /** Returns the tokens to ask for. */
  static long wanted(long missingTokens, double tokensPerSecond) {
    return missingTokens + (long) (Math.max(0, tokensPerSecond) * AHEAD_SECONDS);
  }

  /**
   * Returns the tokens to lend out of a hand.
   *
   * @param request what is asked for
   * @param available the tokens in hand
   * @param refillable whether the hand can be filled again from the ledger
   * @return the tokens
   */
  static long lent(LoanRequest request, long available, boolean refillable) {
    return Math.min(request.wantedTokens(), refillable ? available : available / HAND_PART);
  }
}
