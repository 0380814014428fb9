package io.snipeloom.protocol;

/** The state of a request, or of one of its attempts, as known to a sidecar. */
public enum CallState {
  /**
   * The sidecar has not received it. If the query asked for a tombstone, the sidecar will refuse it
   * from now on.
   */
  NEVER_RECEIVED,
  /** It is queued or running; its answer can be attached to. */
  RUNNING,
  /** It completed; its answer is still retained and can be attached to. */
  DONE,
  /** It ran, but its answer is incomplete or no longer retained. */
  RAN,
  /** It may have run: the back end failed, or the sidecar no longer has a record of it. */
  UNKNOWN,
  /** It was refused and did not run. */
  NOT_RUN
}
