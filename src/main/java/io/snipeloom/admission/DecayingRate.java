package io.snipeloom.admission;

/** A rate of events of which the older ones count less. Not thread-safe. */
final class DecayingRate {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double windowSeconds;
  private double weight;
  private long countedNanos;

  /**
   * Creates a rate without events.
   *
   * @param windowSeconds the age at which an event counts 1/e, in seconds
   * @param nowNanos the current time
   */
  DecayingRate(double windowSeconds, long nowNanos) {
    this.windowSeconds = windowSeconds;
    this.countedNanos = nowNanos;
  }

  /** Counts events. */
  void add(double events, long nowNanos) {
    decay(nowNanos);
    weight += events;
  }

  /**
   * Returns the events a second.
   *
   * @param sinceNanos when counting began; what came before is not taken as silence
   * @param nowNanos the current time
   */
  double perSecond(long sinceNanos, long nowNanos) {
    decay(nowNanos);
    double counted = Math.max(0, nowNanos - sinceNanos) / NANOS_PER_SECOND;
    double effective = windowSeconds * -Math.expm1(-counted / windowSeconds);
    return effective <= 0 ? 0 : weight / effective;
  }

  private void decay(long nowNanos) {
    double elapsed = Math.max(0, nowNanos - countedNanos) / NANOS_PER_SECOND;
    weight *= Math.exp(-elapsed / windowSeconds);
    countedNanos = Math.max(countedNanos, nowNanos);
  }
}
