package io.snipeloom.routing;

/**
 * Properties of the model engines of a service.
 *
 * @param slots the number of requests that one engine executes concurrently
 * @param cacheTokens the capacity of the KV cache of one engine, in tokens
 * @param tokensPerEvent the maximum number of output tokens in one event of a stream
 */
public record EngineTraits(int slots, long cacheTokens, int tokensPerEvent) {

  /** Checks the bounds. */
  public EngineTraits {
    if (slots < 1 || cacheTokens < 1 || tokensPerEvent < 1) {
      throw new IllegalArgumentException(
          "slots, cacheTokens and tokensPerEvent must be at least 1");
    }
  }
}
