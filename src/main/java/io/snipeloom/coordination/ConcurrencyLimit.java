package io.snipeloom.coordination;

/** How many requests one router may have in flight at an upstream. */
public final class ConcurrencyLimit {
  private ConcurrencyLimit() {}

  /**
   * Returns the limit from the reported capacity of the usable back ends: the router's own requests
   * in flight and its part of what is free, but at least its even share.
   *
   * @param backEnds the back ends of the upstream
   * @param routers the routers that share the upstream, at least 1
   * @param nowNanos the present time in nanoseconds
   * @return the limit; 0 if no back end is usable
   */
  public static int of(BackEnds backEnds, int routers, long nowNanos) {
    double own = 0;
    double free = 0;
    double capacity = 0;
    for (BackEnd backEnd : backEnds.all()) {
      if (backEnd.takesNewWork()) {
        own += backEnd.inFlight();
        capacity += backEnd.capacity();
        free += Math.max(0, backEnd.capacity() - backEnd.estimatedLoad(nowNanos));
      }
    }
    double share = capacity / Math.max(1, routers);
    return (int) Math.ceil(Math.max(share, own + free / Math.max(1, routers)));
  }
}
