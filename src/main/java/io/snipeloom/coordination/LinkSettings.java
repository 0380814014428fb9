package io.snipeloom.coordination;

import java.time.Duration;

/**
 * Settings of a {@link TcpSidecarLink}.
 *
 * @param firstDelay the longest wait before the first try to reconnect
 * @param maxDelay the longest wait before any try to reconnect
 * @param lossLimit the time after which open attempts of a lost connection are given up
 */
public record LinkSettings(Duration firstDelay, Duration maxDelay, Duration lossLimit) {
  private static final LinkSettings DEFAULT =
      new LinkSettings(Duration.ofMillis(50), Duration.ofSeconds(5), Duration.ofSeconds(5));

  /**
   * Returns the settings used unless others are given.
   *
   * @return the default settings
   */
  public static LinkSettings standard() {
    return DEFAULT;
  }
}
