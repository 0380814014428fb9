package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;

/** What to do with a request, given the state of its earlier attempts. */
public sealed interface CallResolution {

  /** The request may be sent, since no earlier attempt prevents it. */
  record Proceed() implements CallResolution {}

  /**
   * The answer of an earlier attempt, which is running or complete, is received instead of sending
   * the request again.
   */
  record Follow(SidecarLink link, AttemptId attempt) implements CallResolution {}
}
