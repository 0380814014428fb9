package io.snipeloom.admission;

/**
 * The rate of events that is usual, which a peak of some seconds changes little. Not thread-safe.
 *
 * <p>It is the plain average of the first seconds; from then on it follows slowly.
 */
final class UsualRate {
  private static final double LEARNING_SECONDS = 5;
  private static final double FOLLOWING_SECONDS = 60;
  private static final double NANOS_PER_SECOND = 1e9;

  private final long sinceNanos;
  private double learned;
  private double perSecond;
  private long countedNanos;

  /**
   * Creates a rate without events.
   *
   * @param sinceNanos when counting began for all that is compared with it
   * @param nowNanos the current time
   */
  UsualRate(long sinceNanos, long nowNanos) {
    this.sinceNanos = sinceNanos;
    this.countedNanos = nowNanos;
  }

  /** Counts events. */
  void add(double events, long nowNanos) {
    if (isLearning(nowNanos)) {
      learned += events;
      return;
    }
    follow(nowNanos);
    perSecond += events / FOLLOWING_SECONDS;
  }

  /** Returns the events a second. */
  double perSecond(long nowNanos) {
    if (isLearning(nowNanos)) {
      double elapsed = Math.max(0, nowNanos - sinceNanos) / NANOS_PER_SECOND;
      return elapsed <= 0 ? 0 : learned / elapsed;
    }
    follow(nowNanos);
    return perSecond;
  }

  private boolean isLearning(long nowNanos) {
    return nowNanos - sinceNanos < LEARNING_SECONDS * NANOS_PER_SECOND;
  }

  private void follow(long nowNanos) {
    if (learned > 0) {
      perSecond = learned / LEARNING_SECONDS;
      learned = 0;
      countedNanos = sinceNanos + (long) (LEARNING_SECONDS * NANOS_PER_SECOND);
    }
    double elapsed = Math.max(0, nowNanos - countedNanos) / NANOS_PER_SECOND;
    perSecond *= Math.exp(-elapsed / FOLLOWING_SECONDS);
    countedNanos = Math.max(countedNanos, nowNanos);
  }
}
