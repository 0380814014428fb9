package io.snipeloom.routing;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id identifies the text of the part
 * @param tokens the length, in tokens
 */
public record PromptPart(String id, long tokens) {

  /** Checks the length. */
  public PromptPart {
    if (tokens < 0) {
      throw new IllegalArgumentException("tokens must be at least 0 but was " + tokens);
    }
  }
}
