package io.snipeloom.spend;

/**
 * The usual size of a request of one customer: a moving mean in which a single much larger number,
 * such as a claim ahead for many requests, counts little. Not thread-safe.
 */
final class RequestSize {
  /** A new number contributes one part in this number to the mean. */
  private static final int WINDOW = 8;

  /** The most that a number counts for, as a multiple of the mean. */
  private static final int MAX_MEANS = 4;

  private long meanTokens;

  void add(long tokens) {
    meanTokens =
        meanTokens == 0
            ? tokens
            : meanTokens + (Math.min(tokens, MAX_MEANS * meanTokens) - meanTokens) / WINDOW;
  }

  /** Returns the mean in tokens, 0 before the first request. */
  long meanTokens() {
    return meanTokens;
  }
}
