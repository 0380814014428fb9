package io.snipeloom.coordination;

/**
 * The rate at which slots come free, and the shortest usual time of service; guarded by its owner.
 *
 * <p>The rate is measured over spans of time that always contain some releases, so that an outage
 * shows as a falling rate.
 */
final class DrainRate {
  private static final double ASSUMED_SERVICE_NANOS = 2e9;
  private static final double HALF_LIFE_NANOS = 5e9;
  private static final double SERVICE_GAIN = 0.05;

  private double releases;
  private double spanNanos;
  private long lastNanos;
  private double meanServiceNanos = ASSUMED_SERVICE_NANOS;

  DrainRate(long nowNanos) {
    lastNanos = nowNanos;
  }

  /**
   * Notes a span of time.
   *
   * @param nowNanos the present time in nanoseconds
   * @param busy whether anything was in flight, so that a release could have been expected
   */
  void advance(long nowNanos, boolean busy) {
    double elapsed = nowNanos - lastNanos;
    lastNanos = nowNanos;
    if (elapsed <= 0 || !busy) {
      return;
    }
    double keep = Math.exp(-elapsed / HALF_LIFE_NANOS);
    releases *= keep;
    spanNanos = spanNanos * keep + elapsed;
  }

  /**
   * Notes a release.
   *
   * @param serviceNanos the time for which the slot was held
   */
  void released(long serviceNanos) {
    releases++;
    meanServiceNanos += SERVICE_GAIN * (serviceNanos - meanServiceNanos);
  }

  /**
   * Returns the expected time until a number of slots have come free.
   *
   * @param slots the number of slots
   * @param limit the slots in all
   * @return the time in nanoseconds
   */
  double nanosFor(double slots, int limit) {
    double assumed = meanServiceNanos / Math.max(1, limit);
    double blended = (spanNanos + assumed) / (releases + 1);
    return slots * blended;
  }
}
