package io.snipeloom.standin;

import io.snipeloom.client.Instance;

/**
 * An in-memory stand-in for the instance list of the platform.
 *
 * <p>Thread-safe. Can be started and stopped only once.
 */
public final class InstancesStandin {
  private final InstanceTable table = new InstanceTable(System::nanoTime);
  private final StandinServer server;

  private InstancesStandin(StandinAddress address) {
    this.server = new StandinServer(InstancesController.SURFACE, address, table);
  }

  /**
   * Returns a stand-in with an empty list that has not been started.
   *
   * @param address the address and ports to listen on
   */
  public static InstancesStandin of(StandinAddress address) {
    return new InstancesStandin(address);
  }

  /** Starts the servers. */
  public void start() {
    server.start();
  }

  /** Stops the servers. */
  public void stop() {
    server.stop();
  }

  /** Adds or replaces an instance. The change becomes visible after the configured lag. */
  public void put(Instance instance) {
    table.put(instance, faults().faults().lagMillis());
  }

  /** Returns the TCP port of the list. */
  public int port() {
    return server.port();
  }

  /** Returns the TCP port of the administration interface, which sets faults. */
  public int adminPort() {
    return server.adminPort();
  }

  /** Returns the control that sets the faults of this stand-in. */
  public FaultControl faults() {
    return server.control();
  }
}
