package io.snipeloom.standin;

import io.snipeloom.transport.HttpHost;

/**
 * Where a stand-in listens.
 *
 * @param ip the IP address
 * @param port the port of the stand-in, or {@link HttpHost#ANY_PORT}
 * @param adminPort the port on which its faults are set, or {@link HttpHost#ANY_PORT}
 */
public record StandinAddress(String ip, int port, int adminPort) {
  private static final String LOOPBACK = "127.0.0.1";

  /**
   * Returns an address on loopback with free ports.
   *
   * @return the address
   */
  public static StandinAddress anyPort() {
    return new StandinAddress(LOOPBACK, HttpHost.ANY_PORT, HttpHost.ANY_PORT);
  }
}
