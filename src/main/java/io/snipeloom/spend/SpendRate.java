package io.snipeloom.spend;

/** An exponentially decaying rate of tokens per second. Not thread-safe. */
final class SpendRate {
  private static final double DECAY_TIME_NANOS = 5e9;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * The shortest time over which a rate is computed, so that a single early request does not yield
   * an excessive rate.
   */
  private static final double MIN_WINDOW_NANOS = 3e9;

  private double decayedTokens;
  private long firstNanos;
  private long updatedNanos;

  void add(long tokens, long nowNanos) {
    if (firstNanos == 0) {
      firstNanos = nowNanos;
    }
    decayedTokens = decayed(nowNanos) + tokens;
    updatedNanos = nowNanos;
  }

  double tokensPerSecond(long nowNanos) {
    double age = Math.max(MIN_WINDOW_NANOS, (double) (nowNanos - firstNanos));
    double window = DECAY_TIME_NANOS * (1 - Math.exp(-age / DECAY_TIME_NANOS));
    return decayed(nowNanos) / window * NANOS_PER_SECOND;
  }

  private double decayed(long nowNanos) {
    return decayedTokens * Math.exp((updatedNanos - nowNanos) / DECAY_TIME_NANOS);
  }
}
