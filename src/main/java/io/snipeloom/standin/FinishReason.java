package io.snipeloom.standin;

/** Why an answer ended. */
enum FinishReason {
  STOP("stop"),
  LENGTH("length"),
  CANCELLED("cancelled");

  private final String text;

  FinishReason(String text) {
    this.text = text;
  }

  /** Returns the text form on the wire. */
  String text() {
    return text;
  }
}
