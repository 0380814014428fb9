package io.snipeloom.transport;

import java.time.Duration;

/**
 * Limits on the requests that an HTTP server accepts.
 *
 * @param maxBodyBytes the largest body
 * @param maxHeaderBytes the largest header block
 * @param idleTimeout the time after which a connection without traffic is closed
 */
public record HttpLimits(long maxBodyBytes, int maxHeaderBytes, Duration idleTimeout) {
  private static final HttpLimits DEFAULT =
      new HttpLimits(4L << 20, 16 << 10, Duration.ofMinutes(5));

  /**
   * Returns the limits used unless settings say otherwise.
   *
   * @return the default limits
   */
  public static HttpLimits standard() {
    return DEFAULT;
  }
}
