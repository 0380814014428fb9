package io.snipeloom.routing;

/** What a route allows to be done with a request more than once. */
public enum RouteType {
  /** May run any number of times. */
  IDEMPOTENT {
    @Override
    public boolean mayRunAgain(boolean resumable) {
      return true;
    }
  },
  /** Runs at most once. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayRunAgain(boolean resumable) {
      return false;
    }
  },
  /** A series of events; runs at most once unless it can be resumed after its last event. */
  STREAMING {
    @Override
    public boolean mayRunAgain(boolean resumable) {
      return resumable;
    }
  };

  /**
   * Returns whether a request that may have run may be sent to another replica.
   *
   * @param resumable whether the route allows a stream to be resumed
   * @return true if a second run is harmless
   */
  public abstract boolean mayRunAgain(boolean resumable);
}
