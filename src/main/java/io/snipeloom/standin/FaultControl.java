package io.snipeloom.standin;

import java.util.Random;

/**
 * Holds the faults of one stand-in and applies them to its connections.
 *
 * <p>Thread-safe. Each fault takes effect for the requests that follow; {@code down} and {@code
 * silent} also for open connections.
 */
public final class FaultControl {
  private final Connections connections;

  private volatile Faults faults = Faults.none();
  private Random random = new Random(0);
  private int answersToLose;

  /** Creates a control without faults. */
  FaultControl() {
    this.connections = new Connections(this);
  }

  /**
   * Returns the faults in force.
   *
   * @return the faults
   */
  public Faults faults() {
    return faults;
  }

  /**
   * Replaces the faults.
   *
   * @param newFaults the faults from now on
   */
  public synchronized void set(Faults newFaults) {
    random = new Random(newFaults.seed());
    answersToLose = newFaults.loseAnswerAfterWrite();
    faults = newFaults;
    if (newFaults.down()) {
      connections.closeAll();
    }
  }

  /** Makes the connections that are open now silent for good; new ones work. */
  public void silenceOpenConnections() {
    connections.silenceAll();
  }

  /** Closes the connections that are open now; new ones work. */
  public void closeOpenConnections() {
    connections.closeAll();
  }

  /** Returns the open connections. */
  Connections connections() {
    return connections;
  }

  /** Decides whether the write that just took effect loses its answer. */
  synchronized boolean takesAnswer() {
    if (answersToLose > 0) {
      answersToLose--;
      return true;
    }
    double probability = faults.loseAnswerProbability();
    return probability > 0 && random.nextDouble() < probability;
  }
}
