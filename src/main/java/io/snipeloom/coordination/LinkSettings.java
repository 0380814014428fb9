package io.snipeloom.coordination;

import java.time.Duration;

/**
 * Settings of a {@link TcpSidecarLink}.
 *
 * @param lossLimit the time after which open attempts of a lost connection are given up
 */
public record LinkSettings(Duration lossLimit) {
  private static final LinkSettings DEFAULT = new LinkSettings(Duration.ofSeconds(5));

  /**
   * Returns the settings used unless others are given.
   *
   * @return the default settings
   */
  public static LinkSettings standard() {
    return DEFAULT;
  }
}
