package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;

/** What is to be done with a request, given what is known of its earlier attempts. */
public sealed interface CallResolution {

  /** No earlier attempt stands in the way: the request may be sent. */
  record Proceed() implements CallResolution {}

  /** An earlier attempt runs or has run; its answer is followed instead. */
  record Follow(SidecarLink link, AttemptId attempt) implements CallResolution {}
}
