package io.snipeloom.transport;

import java.time.Duration;

/**
 * Limits on the requests that an HTTP server accepts.
 *
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxHeaderBytes the maximum total size of the request headers in bytes
 * @param idleTimeout how long a connection may be idle before it is closed
 */
public record HttpLimits(long maxBodyBytes, int maxHeaderBytes, Duration idleTimeout) {
  private static final HttpLimits DEFAULT =
      new HttpLimits(4L << 20, 16 << 10, Duration.ofMinutes(5));

  /** Returns the default limits. */
  public static HttpLimits standard() {
    return DEFAULT;
  }
}
