package io.snipeloom.coordination;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with full jitter between tries to connect.
 *
 * <p>Deterministic for a given random generator. Not thread-safe.
 */
final class ReconnectDelay {
  private static final int MAX_DOUBLINGS = 20;

  private final Duration first;
  private final Duration max;
  private final RandomGenerator random;
  private int failures;

  ReconnectDelay(Duration first, Duration max, RandomGenerator random) {
    this.first = first;
    this.max = max;
    this.random = random;
  }

  long nextMillis() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long bound = Math.min(max.toMillis(), first.toMillis() << doublings);
    return random.nextLong(bound + 1);
  }

  void reset() {
    failures = 0;
  }
}
