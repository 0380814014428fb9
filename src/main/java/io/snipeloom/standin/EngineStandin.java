package io.snipeloom.standin;

import io.snipeloom.client.OrderRequest;
import java.util.List;

/**
 * A stand-in for a model engine.
 *
 * <p>It simulates continuous batching, streams tokens at a fixed rate, has a bounded prefix cache,
 * accepts orders and crashes on a prompt that contains the crash marker. {@link AnswerText} defines
 * its answers. Thread-safe. Can be started and stopped only once.
 */
public final class EngineStandin {
  private final EngineComponents components;
  private final StandinServer server;
  private final BatchDriver driver;

  private EngineStandin(StandinAddress address, EngineSettings settings) {
    this.components = EngineComponents.of(settings);
    this.server = new StandinServer(EngineController.SURFACE, address, components);
    this.driver = new BatchDriver(settings, components.engine(), server.control().connections());
  }

  /**
   * Returns a stand-in that has not been started.
   *
   * @param address the address and ports to listen on
   * @param settings the settings of the engine
   */
  public static EngineStandin of(StandinAddress address, EngineSettings settings) {
    return new EngineStandin(address, settings);
  }

  /** Starts the servers and the generation of tokens. */
  public void start() {
    server.start();
    driver.start();
  }

  /** Stops immediately; open streams are aborted. */
  public void stop() {
    driver.stop();
    server.stop();
  }

  /** Returns the counters of the engine since its start. */
  public EngineCounts counts() {
    return components.engine().counts();
  }

  /** Returns the orders that the engine has applied, oldest first. */
  public List<OrderRequest> orders() {
    return components.orders().applied();
  }

  /** Returns the TCP port of the engine. */
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
