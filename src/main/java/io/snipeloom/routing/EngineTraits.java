package io.snipeloom.routing;

/**
 * What is known of the model engines of a service.
 *
 * @param slots the requests that one engine runs at once
 * @param cacheTokens the tokens that the memory of one engine holds
 * @param tokensPerEvent the most output tokens that one event of a stream carries
 */
public record EngineTraits(int slots, long cacheTokens, int tokensPerEvent) {

  /** Checks the bounds. */
  public EngineTraits {
    if (slots < 1 || cacheTokens < 1 || tokensPerEvent < 1) {
      throw new IllegalArgumentException("engine traits must be at least 1");
    }
  }
}
