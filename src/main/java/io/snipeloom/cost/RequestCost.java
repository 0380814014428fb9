package io.snipeloom.cost;

/**
 * What a model request is likely to cost whichever replica runs it. Immutable.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param outputTokens the output that is as likely to be exceeded as not, in tokens
 * @param highOutputTokens the output that few requests like it exceed, in tokens
 */
public record RequestCost(long promptTokens, double outputTokens, double highOutputTokens) {

  /** Checks the ranges. */
  public RequestCost {
    if (promptTokens < 0 || outputTokens < 0 || highOutputTokens < outputTokens) {
      throw new IllegalArgumentException(
          "invalid cost: %d, %s, %s".formatted(promptTokens, outputTokens, highOutputTokens));
    }
  }
}
