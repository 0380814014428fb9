package io.snipeloom.standin;

/** Receives the tokens of one request in order. */
interface TokenListener {

  /** Takes a token. */
  void token(int index, String text);

  /** Takes the end; nothing follows. */
  void end(FinishReason reason, int outputTokens);
}
