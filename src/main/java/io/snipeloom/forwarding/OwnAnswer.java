package io.snipeloom.forwarding;

import io.snipeloom.state.ErrorCode;

/**
 * An answer that this instance gives itself.
 *
 * @param code the error
 * @param status the HTTP status
 * @param reason the error in a few words
 * @param retryAfterMillis when the caller should come back, in milliseconds; 0 to say nothing
 */
record OwnAnswer(ErrorCode code, int status, String reason, long retryAfterMillis) {
  /** A registry entry or a configuration is there within moments of a start. */
  static final long START_PAUSE_MILLIS = 400;

  /** A full replica has room again after about one request. */
  static final long FULL_PAUSE_MILLIS = 150;

  /** Another replica takes over from one that crashed within about half a second. */
  static final long CRASH_PAUSE_MILLIS = 500;

  /** An outage of the store lasts for some seconds; after half of them it may well be over. */
  static final long OUTAGE_PAUSE_MILLIS = 4_000;

  /** Callers come back after at most this part of the time that is left. */
  private static final int PAUSE_PART = 3;

  static OwnAnswer of(ErrorCode code, String reason) {
    return new OwnAnswer(code, code.httpStatus(), reason, 0);
  }

  /** Returns a refusal of a request that did not run; callers come back while time is left. */
  static OwnAnswer notRun(ErrorCode code, String reason, long pauseMillis, long leftMillis) {
    long retryAfter = Math.max(1, Math.min(pauseMillis, leftMillis / PAUSE_PART));
    return new OwnAnswer(code, code.httpStatus(), reason, retryAfter);
  }
}
