package io.snipeloom.routing;

/** What a replica says of itself. */
public enum ReplicaState {
  /** Takes new work. */
  READY {
    @Override
    public boolean takesWork() {
      return true;
    }
  },
  /** Finishes its work and leaves. */
  DRAINING {
    @Override
    public boolean takesWork() {
      return false;
    }
  };

  /**
   * Returns whether new work may be sent to the replica.
   *
   * @return true if it may
   */
  public abstract boolean takesWork();
}
