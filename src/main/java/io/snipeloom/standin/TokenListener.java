package io.snipeloom.standin;

/** Receives the tokens of one request, in order. */
interface TokenListener {

  /** Called for each token; indexes start at 0. */
  void token(int index, String text);

  /** Called once after the last token, with the number of generated tokens. */
  void end(FinishReason reason, int outputTokens);
}
