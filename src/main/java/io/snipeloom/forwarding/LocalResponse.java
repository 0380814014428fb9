package io.snipeloom.forwarding;

import io.snipeloom.state.ErrorCode;

/**
 * An error response that this instance generates itself.
 *
 * @param code the error code
 * @param status the HTTP status code
 * @param reason a description of the error
 * @param retryAfterMillis the suggested time until a retry, in milliseconds; 0 for no suggestion
 */
record LocalResponse(ErrorCode code, int status, String reason, long retryAfterMillis) {
  /**
   * Retry delay during startup; the configuration and the registry entries arrive within this time.
   */
  static final long STARTUP_RETRY_MILLIS = 400;

  /** Retry delay while this instance shuts down; another one serves the request at once. */
  static final long SHUTDOWN_RETRY_MILLIS = 100;

  /** Retry delay when this instance is too slow; another one serves the request at once. */
  static final long OTHER_INSTANCE_RETRY_MILLIS = 100;

  /** Retry delay when replicas are at capacity; about the duration of one request. */
  static final long AT_CAPACITY_RETRY_MILLIS = 150;

  /** Retry delay when replicas state limits, which count requests a second. */
  static final long LIMIT_RETRY_MILLIS = 1_000;

  /** Retry delay when a request body cannot be held; others are sent within about this time. */
  static final long BODY_RETRY_MILLIS = 1_000;

  /** Retry delay after a crash; another replica takes over within about half a second. */
  static final long CRASH_RETRY_MILLIS = 500;

  /**
   * Retry delay during a store outage. Outages last several seconds and may be over after half of
   * that time.
   */
  static final long OUTAGE_RETRY_MILLIS = 4_000;

  /**
   * Retry delay of a request whose like crash replicas; it will be refused until an operator or a
   * survived request shows otherwise.
   */
  static final long CONVICTED_RETRY_MILLIS = 600_000;

  /** Retry delay of such a request that one instance may yet try once more. */
  static final long TRIAL_RETRY_MILLIS = 2_000;

  /** The status of a refusal that promises that the request was not run. */
  private static final int SERVICE_UNAVAILABLE = 503;

  /** The suggested retry delay is at most the remaining time divided by this number. */
  private static final int REMAINING_TIME_DIVISOR = 3;

  /** The time that callers who wait for one moment come back after it, as a share of the wait. */
  private static final double SPREAD_SHARE = 0.25;

  /**
   * Returns a retry delay that differs among callers who are told to wait for the same moment.
   *
   * @param millis the time until that moment, in milliseconds
   * @param draw a random number from 0 to 1
   */
  static long spread(long millis, double draw) {
    return millis + (long) (millis * SPREAD_SHARE * draw);
  }

  static LocalResponse of(ErrorCode code, String reason) {
    return new LocalResponse(code, code.httpStatus(), reason, 0);
  }

  /**
   * Returns the refusal of a request that was not executed because requests like it crash.
   *
   * @param mayBeTried whether it may be sent once more to find out whether it does
   */
  static LocalResponse convicted(String reason, boolean mayBeTried) {
    return new LocalResponse(
        ErrorCode.REQUEST_CONVICTED,
        SERVICE_UNAVAILABLE,
        reason,
        mayBeTried ? TRIAL_RETRY_MILLIS : CONVICTED_RETRY_MILLIS);
  }

  /**
   * Returns a rejection of a request that was not executed, with a retry delay that leaves the
   * caller time for the retry.
   */
  static LocalResponse notExecuted(
      ErrorCode code, String reason, long retryMillis, long remainingMillis) {
    long retryAfter = Math.max(1, Math.min(retryMillis, remainingMillis / REMAINING_TIME_DIVISOR));
    return new LocalResponse(code, code.httpStatus(), reason, retryAfter);
  }
}
