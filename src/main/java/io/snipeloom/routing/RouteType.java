package io.snipeloom.routing;

/** How often the requests of a route may be executed. */
public enum RouteType {
  /** May be executed any number of times. */
  IDEMPOTENT {
    @Override
    public boolean mayRunAgain(boolean resumable) {
      return true;
    }
  },
  /** Is executed at most once. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayRunAgain(boolean resumable) {
      return false;
    }
  },
  /**
   * Responds with a stream of events; is executed at most once unless the stream can be resumed
   * after its last event.
   */
  STREAMING {
    @Override
    public boolean mayRunAgain(boolean resumable) {
      return resumable;
    }
  };

  /**
   * Returns whether a request that may have been executed may be sent to another replica.
   *
   * @param resumable whether the route allows streams to be resumed
   * @return true if a second execution is harmless
   */
  public abstract boolean mayRunAgain(boolean resumable);
}
