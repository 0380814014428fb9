package io.snipeloom.standin;

import io.snipeloom.client.OrderRequest;
import java.util.List;

/**
 * A stand-in for a model engine.
 *
 * <p>It batches continuously, streams tokens at a set pace, keeps a bounded prefix cache, takes
 * orders and crashes on a marked prompt. Its answers are those of {@link AnswerText}. Thread-safe;
 * started and stopped once.
 */
public final class EngineStandin {
  private final EngineParts parts;
  private final StandinServer server;
  private final BatchDriver driver;

  private EngineStandin(StandinAddress address, EngineSettings settings) {
    this.parts = EngineParts.of(settings);
    this.server = new StandinServer(EngineController.SURFACE, address, parts);
    this.driver = new BatchDriver(settings, parts.engine(), server.control().connections());
  }

  /**
   * Returns an engine that is not started yet.
   *
   * @param address where to listen
   * @param settings how the engine works
   * @return the stand-in
   */
  public static EngineStandin of(StandinAddress address, EngineSettings settings) {
    return new EngineStandin(address, settings);
  }

  /** Starts to listen and to generate. */
  public void start() {
    server.start();
    driver.start();
  }

  /** Stops at once; open streams are cut. */
  public void stop() {
    driver.stop();
    server.stop();
  }

  /**
   * Returns what the engine did since its start.
   *
   * @return the counts
   */
  public EngineCounts counts() {
    return parts.engine().counts();
  }

  /**
   * Returns the orders that the engine carried out.
   *
   * @return the orders in order
   */
  public List<OrderRequest> orders() {
    return parts.orders().done();
  }

  /**
   * Returns the port of the engine.
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
