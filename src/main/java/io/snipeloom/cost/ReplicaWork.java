package io.snipeloom.cost;

/**
 * What requests of this instance still cost a replica: the output to come and the memory that they
 * hold, both in tokens. Not thread-safe.
 */
public final class ReplicaWork {
  private double outputLeft;
  private double heldTokens;

  /** Adds to the output to come and to the memory held. */
  void add(double output, double held) {
    outputLeft = Math.max(0, outputLeft + output);
    heldTokens = Math.max(0, heldTokens + held);
  }

  /** Returns the output that is still to come, in tokens. */
  public double outputLeft() {
    return outputLeft;
  }

  /** Returns the memory that running requests hold or will hold beside shared parts, in tokens. */
  public double heldTokens() {
    return heldTokens;
  }
}
