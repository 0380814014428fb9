package io.snipeloom.standin;

import io.snipeloom.client.Instance;

/**
 * A stand-in for the instance list of the platform, in memory.
 *
 * <p>Thread-safe; started and stopped once.
 */
public final class InstancesStandin {
  private final InstanceTable table = new InstanceTable(System::nanoTime);
  private final StandinServer server;

  private InstancesStandin(StandinAddress address) {
    this.server = new StandinServer(InstancesController.SURFACE, address, table);
  }

  /**
   * Returns an empty list that is not started yet.
   *
   * @param address where to listen
   * @return the stand-in
   */
  public static InstancesStandin of(StandinAddress address) {
    return new InstancesStandin(address);
  }

  /** Starts to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  /**
   * Adds or replaces an instance; visible after the lag.
   *
   * @param instance the instance
   */
  public void put(Instance instance) {
    table.put(instance, faults().faults().lagMillis());
  }

  /**
   * Returns the port of the list.
   *
   * @return the TCP port
   */
  public int port() {
    return server.port();
  }

  /**
   * Returns the port on which faults are set.
   *
   * @return the TCP port
   */
  public int adminPort() {
    return server.adminPort();
  }

  /**
   * Returns the control of the faults.
   *
   * @return the control
   */
  public FaultControl faults() {
    return server.control();
  }
}
