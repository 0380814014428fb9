package io.snipeloom.standin;

import java.util.List;

/**
 * What took effect at a plain service since its start.
 *
 * @param total the number of effects
 * @param keys the effects by idempotency key
 * @param bodies the effects by digest of the body
 */
public record EffectReport(long total, List<EffectCount> keys, List<EffectCount> bodies) {

  /** Copies the lists. */
  public EffectReport {
    keys = List.copyOf(keys);
    bodies = List.copyOf(bodies);
  }

  /**
   * Returns how often calls with a key took effect.
   *
   * @param key the idempotency key
   * @return the count; 0 if the key is unknown
   */
  public long ofKey(String key) {
    return keys.stream()
        .filter(entry -> entry.key().equals(key))
        .mapToLong(EffectCount::count)
        .sum();
  }
}
