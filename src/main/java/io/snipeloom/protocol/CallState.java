package io.snipeloom.protocol;

/** What a sidecar knows of a request. */
public enum CallState {
  /** The sidecar never received it and, if a tombstone was asked for, never will run it. */
  NEVER_RECEIVED,
  /** It waits or runs; its answer can be attached to. */
  RUNNING,
  /** It ran to its end; its answer is still kept and can be attached to. */
  DONE,
  /** It ran, and its answer is gone or incomplete. */
  RAN,
  /** It may have run: the back end broke off, or the sidecar no longer remembers it. */
  UNKNOWN,
  /** It was refused and did not run. */
  NOT_RUN
}
