package io.snipeloom.coordination;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Spreads connection attempts over time, so that the instances of a zone that recovers, or of a
 * fleet that starts, do not all connect at the same moment.
 */
public final class ReconnectPacing {
  /** The maximum first delay after a lost connection. */
  static final Duration MAX_FIRST_DELAY = Duration.ofMillis(100);

  /** The maximum of any delay. */
  static final Duration MAX_DELAY = Duration.ofSeconds(10);

  /** The time by which each link extends the period over which first connections are spread. */
  static final Duration SPREAD_PER_LINK = Duration.ofMillis(20);

  /** The maximum period over which first connections are spread. */
  static final Duration MAX_SPREAD = Duration.ofSeconds(5);

  private ReconnectPacing() {}

  /**
   * Returns the delay before reconnecting, uniformly distributed up to a bound that doubles with
   * each failure.
   *
   * @param failures the number of failed attempts since the last successful connection
   * @param random the source of jitter
   */
  public static Duration reconnectDelay(int failures, RandomGenerator random) {
    long maxMillis =
        Math.min(MAX_DELAY.toMillis(), MAX_FIRST_DELAY.toMillis() << Math.min(failures, 10));
    return Duration.ofMillis(random.nextLong(maxMillis + 1));
  }

  /**
   * Returns the delay before one of many first connections.
   *
   * @param links the number of connections that are opened together
   * @param random the source of jitter
   * @return the delay; zero for a single connection
   */
  public static Duration firstDelay(int links, RandomGenerator random) {
    long maxMillis = Math.min(MAX_SPREAD.toMillis(), SPREAD_PER_LINK.toMillis() * (links - 1));
    return Duration.ofMillis(maxMillis <= 0 ? 0 : random.nextLong(maxMillis + 1));
  }
}
