package io.snipeloom.spend;

/** The other instances, from which tokens can be borrowed. */
public interface LoanPeers {

  /** A set without peers, from which nothing can be borrowed. */
  LoanPeers NONE = (request, listener) -> listener.onDone();

  /**
   * Asks other instances to lend tokens.
   *
   * @param request the tokens to borrow
   * @param listener receives the loans
   */
  void borrow(LoanRequest request, Listener listener);

  /** Receives the outcome of a loan request. */
  interface Listener {

    /**
     * An instance lent tokens and will no longer use them itself. Late responses may cause this
     * call after {@link #onDone}.
     *
     * @param tokens the lent tokens, more than 0
     */
    void onLent(long tokens);

    /** Every instance that was asked has responded or is no longer waited for. */
    void onDone();
  }
}
