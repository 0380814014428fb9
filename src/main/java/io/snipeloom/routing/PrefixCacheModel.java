package io.snipeloom.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts the cache of a replica holds, from the requests that were sent to
 * it.
 *
 * <p>When the capacity is exceeded, the least recently used parts are evicted, as in an engine. Not
 * thread-safe.
 */
public final class PrefixCacheModel {
  /** The fraction of an engine's cache that running requests leave for cached parts. */
  private static final double CACHE_FRACTION = 0.7;

  private long capacityTokens;
  private final LinkedHashMap<String, Long> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokens;

  /**
   * Creates an empty cache model.
   *
   * @param cacheTokens the capacity of the KV cache of the engine, in tokens
   */
  public PrefixCacheModel(long cacheTokens) {
    capacityTokens = (long) (cacheTokens * CACHE_FRACTION);
  }

  /**
   * Changes the capacity.
   *
   * @param cacheTokens the capacity of the KV cache of the engine, in tokens
   */
  public void changeCapacity(long cacheTokens) {
    capacityTokens = (long) (cacheTokens * CACHE_FRACTION);
    evict();
  }

  /**
   * Records that the replica processed a prompt.
   *
   * @param parts the parts of the prompt
   */
  public void recordPrompt(List<PromptPart> parts) {
    for (PromptPart part : parts) {
      Long previous = tokensByPart.put(part.id(), part.tokens());
      cachedTokens += part.tokens() - (previous == null ? 0 : previous);
    }
    evict();
  }

  private void evict() {
    Iterator<Map.Entry<String, Long>> eldest = tokensByPart.entrySet().iterator();
    while (cachedTokens > capacityTokens && eldest.hasNext()) {
      cachedTokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  /**
   * Returns whether a part is probably cached.
   *
   * @param part the part
   */
  public boolean contains(PromptPart part) {
    return tokensByPart.containsKey(part.id());
  }
}
