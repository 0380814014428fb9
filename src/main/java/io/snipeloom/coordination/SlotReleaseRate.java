package io.snipeloom.coordination;

/**
 * Estimates the rate at which concurrency slots are released. Not thread-safe; guarded by its
 * owner.
 *
 * <p>The estimate covers the last few dozen releases and the time since the last one, so that the
 * rate falls during an outage.
 */
final class SlotReleaseRate {
  private static final double INITIAL_SERVICE_NANOS = 2e9;
  private static final double DECAY_PER_RELEASE = 1 - 1 / 32.0;
  private static final double SERVICE_TIME_WEIGHT = 0.05;

  private double releases;
  private double busyNanos;
  private long lastNanos;
  private double meanServiceNanos = INITIAL_SERVICE_NANOS;

  SlotReleaseRate(long nowNanos) {
    lastNanos = nowNanos;
  }

  /**
   * Accounts for the time since the last call.
   *
   * @param nowNanos the current time in nanoseconds
   * @param busy whether any slot was in use during that time; idle time is not counted, since no
   *     release could be expected
   */
  void advance(long nowNanos, boolean busy) {
    double elapsed = nowNanos - lastNanos;
    lastNanos = nowNanos;
    if (busy) {
      busyNanos += elapsed;
    }
  }

  /**
   * Records the release of a slot.
   *
   * @param serviceNanos the time for which the slot was held
   */
  void released(long serviceNanos) {
    releases = releases * DECAY_PER_RELEASE + 1;
    busyNanos *= DECAY_PER_RELEASE;
    meanServiceNanos += SERVICE_TIME_WEIGHT * (serviceNanos - meanServiceNanos);
  }

  /**
   * Returns the expected time until this number of slots has been released.
   *
   * @param slots the number of slots
   * @param limit the total number of slots
   * @return the time in nanoseconds
   */
  double nanosFor(double slots, int limit) {
    double expectedNanosPerRelease = meanServiceNanos / Math.max(1, limit);
    double nanosPerRelease = (busyNanos + expectedNanosPerRelease) / (releases + 1);
    return slots * nanosPerRelease;
  }
}
