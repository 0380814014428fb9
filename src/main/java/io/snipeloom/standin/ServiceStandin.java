package io.snipeloom.standin;

/**
 * A stand-in for a plain service such as a desk application or a booking service.
 *
 * <p>It does not recognise repeats: each call other than GET takes effect again, and is counted.
 * Thread-safe; started and stopped once.
 */
public final class ServiceStandin {
  private final Effects effects = new Effects();
  private final StandinServer server;

  private ServiceStandin(StandinAddress address, String name) {
    this.server =
        new StandinServer(ServiceController.SURFACE, address, effects, new ServiceName(name));
  }

  /**
   * Returns a service that is not started yet.
   *
   * @param address where to listen
   * @param name the name that its answers carry
   * @return the stand-in
   */
  public static ServiceStandin of(StandinAddress address, String name) {
    return new ServiceStandin(address, name);
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
   * Returns what took effect.
   *
   * @return the counts
   */
  public EffectReport effects() {
    return effects.report();
  }

  /**
   * Returns the port of the service.
   *
   * @return the TCP port
   */
  public int port() {
    return server.port();
  }

  /**
   * Returns the port on which faults are set and effects are read.
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
