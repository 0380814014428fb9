package io.snipeloom.standin;

import java.util.List;

/**
 * The effects of calls at a plain service since its start.
 *
 * @param total the total number of effects
 * @param keys the number of effects by idempotency key
 * @param bodies the number of effects by digest of the body
 */
public record EffectReport(long total, List<EffectCount> keys, List<EffectCount> bodies) {

  /** Makes defensive copies of the lists. */
  public EffectReport {
    keys = List.copyOf(keys);
    bodies = List.copyOf(bodies);
  }

  /**
   * Returns the number of effects of calls with an idempotency key.
   *
   * @return the number of effects; 0 if the key is unknown
   */
  public long ofKey(String key) {
    return keys.stream()
        .filter(entry -> entry.key().equals(key))
        .mapToLong(EffectCount::count)
        .sum();
  }
}
