package io.snipeloom.standin;

import io.snipeloom.transport.HttpHost;
import io.snipeloom.transport.HttpLimits;
import java.util.Arrays;

/** The two HTTP servers of a stand-in: the simulated service and the administration interface. */
final class StandinServer {
  /** A regular expression that matches the names of the APIs to which faults apply. */
  static final String SURFACE_PATTERN = "standin-.*";

  /** The name of the API for administration; see {@link HttpHost#SURFACE}. */
  static final String ADMIN_SURFACE = "faults";

  private final FaultControl control = new FaultControl();
  private final String surface;
  private final StandinAddress address;
  private final Object[] beans;

  private HttpHost host;
  private HttpHost admin;

  /**
   * Creates the servers without starting them.
   *
   * @param surface the name of the API of the simulated service; see {@link HttpHost#SURFACE}
   * @param address the address and ports to listen on
   * @param beans the objects to inject into the controllers of both servers
   */
  StandinServer(String surface, StandinAddress address, Object... beans) {
    this.surface = surface;
    this.address = address;
    this.beans = beans.clone();
  }

  /** Starts both servers. */
  void start() {
    Object[] injected = Arrays.copyOf(beans, beans.length + 1);
    injected[beans.length] = control;
    host = HttpHost.of(surface, address.ip(), address.port(), HttpLimits.standard(), injected);
    admin =
        HttpHost.of(
            ADMIN_SURFACE, address.ip(), address.adminPort(), HttpLimits.standard(), injected);
    host.start();
    admin.start();
  }

  /** Stops both servers. */
  void stop() {
    host.stop();
    admin.stop();
  }

  int port() {
    return host.port();
  }

  int adminPort() {
    return admin.port();
  }

  FaultControl control() {
    return control;
  }
}
