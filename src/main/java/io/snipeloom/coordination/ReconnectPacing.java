package io.snipeloom.coordination;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Spreads connection attempts over time, so that a zone that returns or a fleet that starts as a
 * whole does not connect in one instant.
 */
public final class ReconnectPacing {
  /** The most that the first delay after a lost connection can be. */
  static final Duration FIRST_DELAY = Duration.ofMillis(100);

  /** The most that any delay can be. */
  static final Duration MAX_DELAY = Duration.ofSeconds(10);

  /** The time added to the spread of first connections for each connection. */
  static final Duration SPREAD_PER_LINK = Duration.ofMillis(20);

  /** The longest spread of first connections. */
  static final Duration MAX_SPREAD = Duration.ofSeconds(5);

  private ReconnectPacing() {}

  /**
   * Returns the delay before connecting again: uniform up to a bound that doubles with each
   * failure.
   *
   * @param failures the attempts that failed since the last good connection, from 0
   * @param random the source of jitter
   * @return the delay
   */
  public static Duration reconnectDelay(int failures, RandomGenerator random) {
    long most = Math.min(MAX_DELAY.toMillis(), FIRST_DELAY.toMillis() << Math.min(failures, 10));
    return Duration.ofMillis(random.nextLong(most + 1));
  }

  /**
   * Returns the delay before one of many first connections.
   *
   * @param links the connections to be opened together
   * @param random the source of jitter
   * @return the delay; zero for a single connection
   */
  public static Duration firstDelay(int links, RandomGenerator random) {
    long most = Math.min(MAX_SPREAD.toMillis(), SPREAD_PER_LINK.toMillis() * (links - 1));
    return Duration.ofMillis(most <= 0 ? 0 : random.nextLong(most + 1));
  }
}
