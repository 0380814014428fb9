package io.snipeloom.forwarding;

import io.snipeloom.routing.Route;

/**
 * When this instance stops to serve, if it does, and which requests may begin before. Immutable.
 *
 * <p>A request may begin if it ends by its time limit, whatever kind it is. Callers who come on new
 * connections may be sent to this instance again for a while; only for these, a stream that they
 * can resume may also begin if it is likely to end.
 *
 * @param known whether the instance shuts down
 * @param newCallersEndNanos until when new connections are accepted, if it does
 * @param endNanos the last moment at which an answer can be sent, if it does
 */
record ShutdownDeadline(boolean known, long newCallersEndNanos, long endNanos) {
  /** The instance goes on. */
  static final ShutdownDeadline NONE = new ShutdownDeadline(false, 0, 0);

  /** Returns the deadline of an instance that shuts down. */
  static ShutdownDeadline at(long newCallersEndNanos, long endNanos) {
    return new ShutdownDeadline(true, newCallersEndNanos, endNanos);
  }

  /**
   * Returns whether a request may be sent to a replica.
   *
   * @param route the route of the request
   * @param limitNanos when the request ends at the latest, with or without an answer
   * @param likelyEndNanos when a stream is likely to have ended; not used for other requests
   * @param nowNanos the current time
   */
  boolean allows(Route route, long limitNanos, long likelyEndNanos, long nowNanos) {
    if (!known || limitNanos - endNanos <= 0) {
      return true;
    }
    boolean mayComeBack = nowNanos - newCallersEndNanos < 0;
    return mayComeBack && route.isResumableStream() && likelyEndNanos - endNanos <= 0;
  }
}
