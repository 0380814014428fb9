package io.snipeloom.spend;

/** The other instances, as far as tokens can be borrowed from them. */
public interface LoanPeers {

  /** Nobody to borrow from. */
  LoanPeers NONE = (request, listener) -> listener.onDone();

  /**
   * Asks other instances for tokens.
   *
   * @param request what is asked for
   * @param listener takes what they lend
   */
  void borrow(LoanRequest request, Listener listener);

  /** Takes the answers. */
  interface Listener {

    /**
     * An instance lent tokens, which it will not use any more; also called after {@link #onDone},
     * for answers that come late.
     *
     * @param tokens the tokens, more than 0
     */
    void onLent(long tokens);

    /** Every instance that was asked has answered or was given up. */
    void onDone();
  }
}
