package io.snipeloom.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts recent uses of prompt parts, with exponential decay.
 *
 * <p>Not thread-safe.
 */
public final class PartPopularity {
  /**
   * The time constant of the decay; about as long as a part stays useful in the cache of a replica.
   */
  private static final double DECAY_NANOS = 8e9;

  /** The decayed count from which a part is worth caching on several replicas. */
  private static final double HOT_COUNT = 2;

  private static final int MAX_PARTS = 4_096;

  private final Map<String, Count> counts = new LinkedHashMap<>(64, 0.75f, true);

  private record Count(double value, long atNanos) {
    double at(long nowNanos) {
      return value * Math.exp((atNanos - nowNanos) / DECAY_NANOS);
    }
  }

  /**
   * Counts the parts of a prompt.
   *
   * @param parts the parts
   * @param nowNanos the current time
   */
  public void recordParts(List<PromptPart> parts, long nowNanos) {
    for (PromptPart part : parts) {
      Count previous = counts.get(part.id());
      double value = previous == null ? 0 : previous.at(nowNanos);
      counts.put(part.id(), new Count(value + 1, nowNanos));
    }
    Iterator<String> eldest = counts.keySet().iterator();
    while (counts.size() > MAX_PARTS) {
      eldest.next();
      eldest.remove();
    }
  }

  /**
   * Returns whether a part is used so often that several replicas should cache it.
   *
   * @param part the part
   * @param nowNanos the current time
   */
  public boolean isHot(PromptPart part, long nowNanos) {
    Count count = counts.get(part.id());
    return count != null && count.at(nowNanos) >= HOT_COUNT;
  }
}
