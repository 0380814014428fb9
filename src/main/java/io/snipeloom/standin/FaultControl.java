package io.snipeloom.standin;

import java.util.Random;

/**
 * Holds the configured faults of one stand-in and applies them to its connections.
 *
 * <p>Thread-safe. Faults apply to subsequent requests; {@code down} and {@code silent} also apply
 * to open connections.
 */
public final class FaultControl {
  private final Connections connections;

  private volatile Faults faults = Faults.none();
  private Random random = new Random(0);
  private int responsesToDrop;

  /** Creates a control with no faults set. */
  FaultControl() {
    this.connections = new Connections(this);
  }

  /** Returns the current faults. */
  public Faults faults() {
    return faults;
  }

  /** Replaces all faults and restarts the random sequence from the new seed. */
  public synchronized void set(Faults newFaults) {
    random = new Random(newFaults.seed());
    responsesToDrop = newFaults.loseAnswerAfterWrite();
    faults = newFaults;
    if (newFaults.down()) {
      connections.closeAll();
    }
  }

  /**
   * Makes the currently open connections discard their traffic until they close; new connections
   * are not affected.
   */
  public void silenceOpenConnections() {
    connections.silenceAll();
  }

  /** Closes the currently open connections; new connections are not affected. */
  public void closeOpenConnections() {
    connections.closeAll();
  }

  /** Returns the open connections. */
  Connections connections() {
    return connections;
  }

  /** Decides whether the response to a write that took effect is dropped. */
  synchronized boolean shouldDropResponse() {
    if (responsesToDrop > 0) {
      responsesToDrop--;
      return true;
    }
    double probability = faults.loseAnswerProbability();
    return probability > 0 && random.nextDouble() < probability;
  }
}
