package io.snipeloom.routing;

/** The state that a replica reports about itself. */
public enum ReplicaState {
  /** Accepts new requests. */
  READY {
    @Override
    public boolean acceptsRequests() {
      return true;
    }
  },
  /** Finishes its pending requests before it leaves. */
  DRAINING {
    @Override
    public boolean acceptsRequests() {
      return false;
    }
  };

  /** Returns whether new requests may be sent to the replica. */
  public abstract boolean acceptsRequests();
}
