package io.snipeloom.standin;

/**
 * A stand-in for a plain service such as a desk application or a booking service.
 *
 * <p>It does not deduplicate by idempotency key: each call other than GET takes effect and is
 * counted. Thread-safe. Can be started and stopped only once.
 */
public final class ServiceStandin {
  private final Effects effects = new Effects();
  private final StandinServer server;

  private ServiceStandin(StandinAddress address, String name) {
    this.server =
        new StandinServer(ServiceController.SURFACE, address, effects, new ServiceName(name));
  }

  /**
   * Returns a stand-in that has not been started.
   *
   * @param address the address and ports to listen on
   * @param name the service name that its responses contain
   */
  public static ServiceStandin of(StandinAddress address, String name) {
    return new ServiceStandin(address, name);
  }

  /** Starts the servers. */
  public void start() {
    server.start();
  }

  /** Stops the servers. */
  public void stop() {
    server.stop();
  }

  /** Returns the effects of calls since the start. */
  public EffectReport effects() {
    return effects.report();
  }

  /** Returns the TCP port of the service. */
  public int port() {
    return server.port();
  }

  /**
   * Returns the TCP port of the administration interface, which sets faults and reports effects.
   */
  public int adminPort() {
    return server.adminPort();
  }

  /** Returns the control that sets the faults of this stand-in. */
  public FaultControl faults() {
    return server.control();
  }
}
