package io.snipeloom.crashes;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The share of the attempts that an instance sent lately that has a trait. Older attempts weigh
 * less.
 *
 * <p>Not thread-safe.
 */
final class TraitShares {
  private static final double DECAY_NANOS = 30e9;

  /** Attempts without any trait that a new instance assumes, so that its first ones say little. */
  private static final double ASSUMED_ATTEMPTS = 5;

  private static final int MAX_TRAITS = 8_192;

  private final Map<RequestTrait, Weight> weights = new LinkedHashMap<>(64, 0.75f, true);
  private Weight total = new Weight(0, 0);

  private record Weight(double value, long atNanos) {
    double at(long nowNanos) {
      return value * Math.exp((atNanos - nowNanos) / DECAY_NANOS);
    }

    Weight plusOne(long nowNanos) {
      return new Weight(at(nowNanos) + 1, nowNanos);
    }
  }

  /** Counts an attempt with the traits that different requests share. */
  void onSent(Collection<RequestTrait> traits, long nowNanos) {
    total = total.plusOne(nowNanos);
    for (RequestTrait trait : traits) {
      weights.put(trait, weights.getOrDefault(trait, new Weight(0, nowNanos)).plusOne(nowNanos));
    }
    Iterator<RequestTrait> eldest = weights.keySet().iterator();
    while (weights.size() > MAX_TRAITS) {
      eldest.next();
      eldest.remove();
    }
  }

  /** Returns the share of a trait, from 0 to 1. */
  double shareOf(RequestTrait trait, long nowNanos) {
    Weight weight = weights.get(trait);
    return weight == null ? 0 : weight.at(nowNanos) / (total.at(nowNanos) + ASSUMED_ATTEMPTS);
  }
}
