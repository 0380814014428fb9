package io.snipeloom.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that a replica probably holds, by the requests that were sent to it.
 *
 * <p>The least recently used parts yield once the capacity is exceeded, as they do in an engine.
 * Not thread-safe.
 */
public final class PrefixMemory {
  /** The share of an engine's memory that running requests leave to cached parts. */
  private static final double CACHE_SHARE = 0.7;

  private final long capacity;
  private final LinkedHashMap<String, Long> held = new LinkedHashMap<>(64, 0.75f, true);
  private long tokens;

  /**
   * Creates an empty memory.
   *
   * @param engineTokens the tokens that the engine's memory holds
   */
  public PrefixMemory(long engineTokens) {
    this.capacity = (long) (engineTokens * CACHE_SHARE);
  }

  /**
   * Takes note that a prompt was read.
   *
   * @param parts the parts of the prompt
   */
  public void read(List<PromptPart> parts) {
    for (PromptPart part : parts) {
      Long before = held.put(part.id(), part.tokens());
      tokens += part.tokens() - (before == null ? 0 : before);
    }
    Iterator<Map.Entry<String, Long>> eldest = held.entrySet().iterator();
    while (tokens > capacity && eldest.hasNext()) {
      tokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  /**
   * Returns whether a part is probably held.
   *
   * @param part the part
   * @return true if it is
   */
  public boolean holds(PromptPart part) {
    return held.containsKey(part.id());
  }
}
