package io.snipeloom.standin;

/**
 * A stand-in for the store of model weights, with a limited transfer rate.
 *
 * <p>Thread-safe. Can be started and stopped only once.
 */
public final class WeightsStandin {
  private final StandinServer server;

  private WeightsStandin(StandinServer server) {
    this.server = server;
  }

  /**
   * Returns a stand-in that has not been started.
   *
   * @param address the address and ports to listen on
   * @param fileBytes the size of each file, in bytes
   * @param bytesPerSecond the maximum transfer rate, shared by all requests
   */
  public static WeightsStandin of(StandinAddress address, long fileBytes, long bytesPerSecond) {
    RateLimit rateLimit = new RateLimit(bytesPerSecond, System::nanoTime);
    return new WeightsStandin(
        new StandinServer(
            WeightsController.SURFACE, address, new WeightFiles(fileBytes), rateLimit));
  }

  /** Starts the servers. */
  public void start() {
    server.start();
  }

  /** Stops the servers. */
  public void stop() {
    server.stop();
  }

  /** Returns the TCP port of the store. */
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
