package io.snipeloom.forwarding;

import io.snipeloom.routing.Route;
import io.snipeloom.routing.RouteType;

/** Decides whether a request is sent to another replica. Thread-safe, without state. */
final class RetryRules {
  /**
   * A replica that did not run a request may be replaced this often beyond the allowed attempts.
   */
  private static final int EXTRA_SENDS = 2;

  /** No attempt is started with less time left than this; it could not succeed. */
  private static final long MIN_LEFT_MILLIS = 20;

  /** How often connecting may fail before the request is refused. */
  private static final int MAX_CONNECT_FAILURES = 3;

  /** A replica that owes an answer is given up after this many times the expected time. */
  private static final double SILENCE_FACTOR = 2.5;

  /** A quiet replica is not given up before this time. */
  private static final long MIN_SILENCE_MILLIS = 200;

  /** A quiet stream is given up before its caller does, who waits for 2 s at least. */
  private static final long MAX_SILENCE_MILLIS = 1_500;

  private RetryRules() {}

  /**
   * Returns whether another replica may get the request.
   *
   * @param route the route
   * @param failure how the last attempt failed
   * @param runs the replicas that may have run the request
   * @param sends the replicas that got the request
   * @param connectFailures the connections that did not come about
   * @param leftMillis the time left
   */
  static boolean maySendAgain(
      Route route,
      AttemptFailure failure,
      int runs,
      int sends,
      int connectFailures,
      long leftMillis) {
    if (leftMillis < MIN_LEFT_MILLIS || connectFailures >= MAX_CONNECT_FAILURES) {
      return false;
    }
    if (failure.mayHaveRun() && !route.mayRunAgain()) {
      return false;
    }
    return runs < route.maxAttempts() && sends < route.maxAttempts() + EXTRA_SENDS;
  }

  /**
   * Returns how long a replica may be silent before the request is sent to another one.
   *
   * @param route the route
   * @return the time in milliseconds, 0 if it is never sent to another one for silence
   */
  static long silenceMillis(Route route) {
    if (!route.mayRunAgain() || route.maxAttempts() < 2) {
      return 0;
    }
    if (route.type() == RouteType.STREAMING) {
      return MAX_SILENCE_MILLIS;
    }
    double expected = route.targetMillis() * SILENCE_FACTOR;
    return (long) Math.min(MAX_SILENCE_MILLIS, Math.max(MIN_SILENCE_MILLIS, expected));
  }
}
