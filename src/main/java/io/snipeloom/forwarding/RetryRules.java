package io.snipeloom.forwarding;

import io.snipeloom.routing.Route;
import io.snipeloom.routing.RouteType;

/** Decides whether a request is retried on another replica. Stateless and thread-safe. */
final class RetryRules {
  /**
   * The number of sends allowed beyond the maximum attempts of the route, to replace replicas that
   * did not execute the request.
   */
  private static final int EXTRA_SENDS = 2;

  /** No attempt is started with less time remaining than this, because it could not succeed. */
  private static final long MIN_REMAINING_MILLIS = 20;

  /** The number of failed connection attempts after which the request is rejected. */
  private static final int MAX_CONNECT_FAILURES = 3;

  /** The silence timeout as a multiple of the expected time to the response. */
  private static final double SILENCE_FACTOR = 2.5;

  /** The lower bound of the silence timeout. */
  private static final long MIN_SILENCE_MILLIS = 200;

  /**
   * The upper bound of the silence timeout, and its value for streams. Callers of streams wait for
   * at least 2 s, so the request is retried before they time out.
   */
  private static final long MAX_SILENCE_MILLIS = 1_500;

  private RetryRules() {}

  /**
   * Returns whether a request may be retried on another replica.
   *
   * @param route the route of the request
   * @param failure how the last attempt failed
   * @param runs the number of attempts that may have executed the request
   * @param sends the number of times that the request was sent
   * @param connectFailures the number of failed connection attempts
   * @param remainingMillis the time until the deadline, in milliseconds
   */
  static boolean mayRetry(
      Route route,
      AttemptFailure failure,
      int runs,
      int sends,
      int connectFailures,
      long remainingMillis) {
    if (remainingMillis < MIN_REMAINING_MILLIS || connectFailures >= MAX_CONNECT_FAILURES) {
      return false;
    }
    if (failure.mayHaveRun() && !route.mayRunAgain()) {
      return false;
    }
    return runs < route.maxAttempts() && sends < route.maxAttempts() + EXTRA_SENDS;
  }

  /**
   * Returns how long a replica may send nothing before the request is retried on another replica.
   *
   * @param route the route of the request
   * @return the timeout in milliseconds, 0 if silence never causes a retry
   */
  static long silenceTimeoutMillis(Route route) {
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
