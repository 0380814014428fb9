package io.snipeloom.standin;

import io.snipeloom.transport.HttpHost;

/**
 * The IP address and ports on which a stand-in listens.
 *
 * @param ip the IP address, in text form
 * @param port the TCP port of the stand-in, or {@link HttpHost#ANY_PORT}
 * @param adminPort the TCP port of the administration interface, or {@link HttpHost#ANY_PORT}
 */
public record StandinAddress(String ip, int port, int adminPort) {
  private static final String LOOPBACK = "127.0.0.1";

  /** Returns a loopback address whose ports are chosen by the operating system. */
  public static StandinAddress anyPort() {
    return new StandinAddress(LOOPBACK, HttpHost.ANY_PORT, HttpHost.ANY_PORT);
  }
}
