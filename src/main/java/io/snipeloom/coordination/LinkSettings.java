package io.snipeloom.coordination;

import java.time.Duration;

/**
 * Settings of a {@link TcpSidecarLink}.
 *
 * @param reconnectTimeout the time after which the open attempts of a lost connection are reported
 *     as lost
 */
public record LinkSettings(Duration reconnectTimeout) {
  private static final LinkSettings DEFAULT = new LinkSettings(Duration.ofSeconds(5));

  /** Returns the default settings. */
  public static LinkSettings standard() {
    return DEFAULT;
  }
}
