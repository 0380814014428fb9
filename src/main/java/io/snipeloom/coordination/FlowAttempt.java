package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;

/** One attempt of a {@link RequestFlow}, which guards its fields. */
final class FlowAttempt {
  final AttemptId id;
  final BackEnd backEnd;
  final SidecarLink link;
  Incarnation sidecar;
  boolean sent;
  long sentNanos;
  boolean concluded;

  /**
   * Creates an attempt.
   *
   * @param id its identifier
   * @param backEnd the back end that it was admitted to; null for one that is only followed
   * @param link the link to the sidecar
   */
  FlowAttempt(AttemptId id, BackEnd backEnd, SidecarLink link) {
    this.id = id;
    this.backEnd = backEnd;
    this.link = link;
  }
}
