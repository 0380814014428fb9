package io.snipeloom.cost;

import java.util.OptionalLong;

/**
 * What is known of a model request before it runs. Immutable.
 *
 * @param route the name of the route
 * @param customer the name of the customer, empty if there is none
 * @param promptTokens the length of the prompt, in tokens
 * @param maxOutputTokens the longest output that the request allows, in tokens
 * @param hintTokens what the caller estimates for the output, in tokens, if it states it
 */
public record RequestKind(
    String route,
    String customer,
    long promptTokens,
    long maxOutputTokens,
    OptionalLong hintTokens) {

  /** Checks the ranges. */
  public RequestKind {
    if (promptTokens < 0 || maxOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must be at least 0");
    }
  }
}
