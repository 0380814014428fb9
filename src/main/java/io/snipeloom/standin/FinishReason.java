package io.snipeloom.standin;

/** The reason why an answer ended. */
enum FinishReason {
  STOP("stop"),
  LENGTH("length"),
  CANCELLED("cancelled");

  private final String text;

  FinishReason(String text) {
    this.text = text;
  }

  /** Returns the value of the JSON field {@code finish_reason}. */
  String text() {
    return text;
  }
}
