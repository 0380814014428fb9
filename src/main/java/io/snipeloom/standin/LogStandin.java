package io.snipeloom.standin;

/**
 * An in-memory stand-in for the log service of the platform.
 *
 * <p>Thread-safe. Can be started and stopped only once.
 */
public final class LogStandin {
  private final StandinServer server;

  private LogStandin(StandinServer server) {
    this.server = server;
  }

  /**
   * Returns a stand-in that has not been started.
   *
   * @param address the address and ports to listen on
   */
  public static LogStandin of(StandinAddress address) {
    return new LogStandin(new StandinServer(LogController.SURFACE, address, new LogStreams()));
  }

  /** Starts the servers. */
  public void start() {
    server.start();
  }

  /** Stops the servers; the records are lost. */
  public void stop() {
    server.stop();
  }

  /** Returns the TCP port of the log. */
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
