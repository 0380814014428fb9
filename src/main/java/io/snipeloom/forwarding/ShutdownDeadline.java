package io.snipeloom.forwarding;

import io.snipeloom.routing.Route;

/**
 * When this instance stops to serve, if it does, and which requests may begin before. Immutable.
 *
 * @param known whether the instance shuts down
 * @param endNanos the last moment at which an answer can be sent, if it does
 */
record ShutdownDeadline(boolean known, long endNanos) {
  /** The instance goes on. */
  static final ShutdownDeadline NONE = new ShutdownDeadline(false, 0);

  /** The time until the first event of a stream, as a multiple of the target of its route. */
  private static final long FIRST_EVENT_TARGETS = 2;

  /** What the first event of a stream takes at least to be worth a begin. */
  private static final long MIN_FIRST_EVENT_MILLIS = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the deadline of an instance that shuts down. */
  static ShutdownDeadline at(long endNanos) {
    return new ShutdownDeadline(true, endNanos);
  }

  /**
   * Returns whether a request may be sent to a replica. It must be able to end before, since nobody
   * would know what became of it. A stream that its caller can resume need only begin: the caller
   * gets the rest from another instance.
   *
   * @param route the route of the request
   * @param deadlineNanos until when its caller waits
   * @param nowNanos the current time
   */
  boolean allows(Route route, long deadlineNanos, long nowNanos) {
    if (!known) {
      return true;
    }
    if (route.isResumableStream()) {
      long firstEventMillis =
          Math.max(MIN_FIRST_EVENT_MILLIS, FIRST_EVENT_TARGETS * route.targetMillis());
      return nowNanos + firstEventMillis * NANOS_PER_MILLI - endNanos <= 0;
    }
    return deadlineNanos - endNanos <= 0;
  }
}
