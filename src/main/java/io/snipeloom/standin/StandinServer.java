package io.snipeloom.standin;

import io.snipeloom.transport.HttpHost;
import io.snipeloom.transport.HttpLimits;
import java.util.Arrays;

/** The two HTTP servers of a stand-in: its own surface and the administration of its faults. */
final class StandinServer {
  /** Matches the names of the surfaces that show faults. */
  static final String SURFACE_PATTERN = "standin-.*";

  /** The surface on which faults are set. */
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
   * @param surface the name of the surface
   * @param address where to listen
   * @param beans the objects that the controllers of both surfaces take
   */
  StandinServer(String surface, StandinAddress address, Object... beans) {
    this.surface = surface;
    this.address = address;
    this.beans = beans.clone();
  }

  /** Starts both servers. */
  void start() {
    Object[] all = Arrays.copyOf(beans, beans.length + 1);
    all[beans.length] = control;
    host = HttpHost.of(surface, address.ip(), address.port(), HttpLimits.standard(), all);
    admin =
        HttpHost.of(ADMIN_SURFACE, address.ip(), address.adminPort(), HttpLimits.standard(), all);
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
