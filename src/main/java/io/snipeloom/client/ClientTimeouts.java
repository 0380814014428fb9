package io.snipeloom.client;

import java.time.Duration;

/**
 * Time limits of the clients of the platform.
 *
 * @param connect the most time to open a connection
 * @param read the most time to wait for an answer
 */
public record ClientTimeouts(Duration connect, Duration read) {
  private static final ClientTimeouts STANDARD =
      new ClientTimeouts(Duration.ofSeconds(2), Duration.ofSeconds(3));

  /**
   * Returns the limits used unless settings say otherwise.
   *
   * @return the standard limits
   */
  public static ClientTimeouts standard() {
    return STANDARD;
  }
}
