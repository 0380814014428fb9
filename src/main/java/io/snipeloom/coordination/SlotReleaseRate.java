package io.snipeloom.coordination;

/**
 * The rate at which slots come free; guarded by its owner.
 *
 * <p>The rate is that of the last few dozen releases and of the time since, so that an outage shows
 * as a falling rate.
 */
final class SlotReleaseRate {
  private static final double ASSUMED_SERVICE_NANOS = 2e9;
  private static final double KEPT = 1 - 1 / 32.0;
  private static final double SERVICE_GAIN = 0.05;

  private double releases;
  private double spanNanos;
  private long lastNanos;
  private double meanServiceNanos = ASSUMED_SERVICE_NANOS;

  SlotReleaseRate(long nowNanos) {
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
    if (busy) {
      spanNanos += elapsed;
    }
  }

  /**
   * Notes a release.
   *
   * @param serviceNanos the time for which the slot was held
   */
  void released(long serviceNanos) {
    releases = releases * KEPT + 1;
    spanNanos *= KEPT;
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
