package io.snipeloom.standin;

/**
 * A stand-in for the log of the platform, in memory.
 *
 * <p>Thread-safe; started and stopped once.
 */
public final class LogStandin {
  private final StandinServer server;

  private LogStandin(StandinServer server) {
    this.server = server;
  }

  /**
   * Returns a log that is not started yet.
   *
   * @param address where to listen
   * @return the stand-in
   */
  public static LogStandin of(StandinAddress address) {
    return new LogStandin(new StandinServer(LogController.SURFACE, address, new LogStreams()));
  }

  /** Starts to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening; the records are lost. */
  public void stop() {
    server.stop();
  }

  /**
   * Returns the port of the log.
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
