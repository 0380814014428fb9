package io.snipeloom.daemon;

/** The status codes of answers that end a request. */
final class FinalStatus {
  private static final int FIRST = 200;
  private static final int LAST = 599;

  private FinalStatus() {}

  /** Returns whether a number is one; others are no answer, whatever comes with them. */
  static boolean isFinal(int status) {
    return status >= FIRST && status <= LAST;
  }
}
