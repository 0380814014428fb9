package io.snipeloom.client;

import java.time.Duration;

/**
 * Timeouts of the HTTP clients for the services of the platform.
 *
 * @param connect the maximum time to open a connection
 * @param read the maximum time to wait for a response
 */
public record ClientTimeouts(Duration connect, Duration read) {
  private static final ClientTimeouts DEFAULT =
      new ClientTimeouts(Duration.ofSeconds(2), Duration.ofSeconds(3));

  /** Returns the default timeouts. */
  public static ClientTimeouts standard() {
    return DEFAULT;
  }
}
