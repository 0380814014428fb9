package io.snipeloom.coordination;

/** How a call to a back end failed. */
public enum BackEndFailure {
  /** No byte of the call was sent, so it did not run. */
  NOT_SENT,
  /** The connection broke when the call may already have been sent. */
  BROKEN
}
