package io.snipeloom.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts how often prompt parts were asked for lately, with exponential decay.
 *
 * <p>Not thread-safe.
 */
public final class PartPopularity {
  /** The time constant of the decay; about the time for which a read part stays useful. */
  private static final double DECAY_NANOS = 8e9;

  /** From this decayed count on, a part is worth holding on several replicas. */
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
   * @param nowNanos the time
   */
  public void count(List<PromptPart> parts, long nowNanos) {
    for (PromptPart part : parts) {
      Count before = counts.get(part.id());
      double value = before == null ? 0 : before.at(nowNanos);
      counts.put(part.id(), new Count(value + 1, nowNanos));
    }
    Iterator<String> eldest = counts.keySet().iterator();
    while (counts.size() > MAX_PARTS) {
      eldest.next();
      eldest.remove();
    }
  }

  /**
   * Returns whether a part is asked for so often that several replicas should hold it.
   *
   * @param part the part
   * @param nowNanos the time
   * @return true if it is
   */
  public boolean isHot(PromptPart part, long nowNanos) {
    Count count = counts.get(part.id());
    return count != null && count.at(nowNanos) >= HOT_COUNT;
  }
}
