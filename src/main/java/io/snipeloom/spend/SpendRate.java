package io.snipeloom.spend;

/** The recent use of tokens, with exponential decay. Not thread-safe. */
final class SpendRate {
  private static final double DECAY_NANOS = 5e9;
  private static final double NANOS_PER_SECOND = 1e9;

  /** A rate is not taken from less time than this, so that one request does not count as many. */
  private static final double MIN_AGE_NANOS = 3e9;

  private double decayedTokens;
  private long firstNanos;
  private long atNanos;

  void add(long tokens, long nowNanos) {
    if (firstNanos == 0) {
      firstNanos = nowNanos;
    }
    decayedTokens = decayed(nowNanos) + tokens;
    atNanos = nowNanos;
  }

  double tokensPerSecond(long nowNanos) {
    double age = Math.max(MIN_AGE_NANOS, (double) (nowNanos - firstNanos));
    double window = DECAY_NANOS * (1 - Math.exp(-age / DECAY_NANOS));
    return decayed(nowNanos) / window * NANOS_PER_SECOND;
  }

  private double decayed(long nowNanos) {
    return decayedTokens * Math.exp((atNanos - nowNanos) / DECAY_NANOS);
  }
}
