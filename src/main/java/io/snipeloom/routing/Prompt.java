package io.snipeloom.routing;

import java.util.List;

/**
 * The size and the parts of a prompt.
 *
 * @param inputTokens the length of the prompt, in tokens
 * @param maxOutputTokens the maximum length of the output, in tokens
 * @param parts the parts in prompt order
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
   * Returns the parts that prompts of other requests or sessions may share; the last part belongs
   * to the request itself or to its session.
   */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the maximum number of tokens that the request can consume. */
  public long maxTokens() {
    return inputTokens + maxOutputTokens;
  }
}
