package io.snipeloom.standin;

/**
 * A stand-in for the rate-limited weight store.
 *
 * <p>Thread-safe; started and stopped once.
 */
public final class WeightsStandin {
  private final StandinServer server;

  private WeightsStandin(StandinServer server) {
    this.server = server;
  }

  /**
   * Returns a store that is not started yet.
   *
   * @param address where to listen
   * @param fileBytes the size of each file
   * @param bytesPerSecond the rate of the store
   * @return the stand-in
   */
  public static WeightsStandin of(StandinAddress address, long fileBytes, long bytesPerSecond) {
    RateLimit rate = new RateLimit(bytesPerSecond, System::nanoTime);
    return new WeightsStandin(
        new StandinServer(WeightsController.SURFACE, address, new WeightFiles(fileBytes), rate));
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
   * Returns the port of the store.
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
