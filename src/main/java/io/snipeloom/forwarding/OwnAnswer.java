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

  /** A replica that crashed or a store that is away is back after seconds. */
  static final long OUTAGE_PAUSE_MILLIS = 1_000;

  static OwnAnswer of(ErrorCode code, String reason) {
    return new OwnAnswer(code, code.httpStatus(), reason, 0);
  }

  static OwnAnswer notRun(ErrorCode code, String reason, long retryAfterMillis) {
    return new OwnAnswer(code, code.httpStatus(), reason, retryAfterMillis);
  }
}
