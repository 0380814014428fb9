package io.snipeloom.spend;

/** The recent use of tokens, with exponential decay. Not thread-safe. */
final class SpendRate {
  private static final double DECAY_NANOS = 5e9;
  private static final double NANOS_PER_SECOND = 1e9;

  private double decayedTokens;
  private long atNanos;

  void add(long tokens, long nowNanos) {
    decayedTokens = decayed(nowNanos) + tokens;
    atNanos = nowNanos;
  }

  double tokensPerSecond(long nowNanos) {
    return decayed(nowNanos) / DECAY_NANOS * NANOS_PER_SECOND;
  }

  private double decayed(long nowNanos) {
    return decayedTokens * Math.exp((atNanos - nowNanos) / DECAY_NANOS);
  }
}
