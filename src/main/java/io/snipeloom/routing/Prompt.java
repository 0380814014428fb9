package io.snipeloom.routing;

import java.util.List;

/**
 * The size and the parts of a prompt.
 *
 * @param inputTokens the tokens of the prompt
 * @param maxOutputTokens the most tokens of the answer
 * @param parts the parts in their order
 */
public record Prompt(long inputTokens, long maxOutputTokens, List<PromptPart> parts) {

  /** Copies the parts and checks the sizes. */
  public Prompt {
    parts = List.copyOf(parts);
    if (inputTokens < 0 || maxOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must be at least 0");
    }
  }

  /**
   * Returns the most tokens that the request can consume.
   *
   * @return the tokens
   */
  public long maxTokens() {
    return inputTokens + maxOutputTokens;
  }
}
