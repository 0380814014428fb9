package io.snipeloom.coordination;

/** Computes how many requests one router may have in flight at an upstream. */
public final class ConcurrencyLimit {
  private ConcurrencyLimit() {}

  /**
   * Returns the limit: the router's own requests in flight plus an equal share of the estimated
   * free capacity, but at least an equal share of the total capacity. Only back ends that take new
   * work are counted.
   *
   * @param backEnds the back ends of the upstream
   * @param routers the number of routers that share the upstream, at least 1
   * @param nowNanos the current time in nanoseconds
   * @return the limit; 0 if no back end is usable
   */
  public static int of(BackEnds backEnds, int routers, long nowNanos) {
    double ownInFlight = 0;
    double free = 0;
    double capacity = 0;
    for (BackEnd backEnd : backEnds.all()) {
      if (backEnd.takesNewWork()) {
        ownInFlight += backEnd.inFlight();
        capacity += backEnd.capacity();
        free += Math.max(0, backEnd.capacity() - backEnd.estimatedLoad(nowNanos));
      }
    }
    double share = capacity / Math.max(1, routers);
    return (int) Math.ceil(Math.max(share, ownInFlight + free / Math.max(1, routers)));
  }
}
