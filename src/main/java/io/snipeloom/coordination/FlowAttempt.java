package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Incarnation;

/** One attempt of a {@link RequestFlow}, whose lock guards the fields. */
final class FlowAttempt {
  final AttemptId id;
  final BackEnd backEnd;
  final SidecarLink link;
  Incarnation sidecar;
  boolean sent;
  long sentNanos;
  boolean ended;

  /**
   * Creates an attempt.
   *
   * @param id its identifier
   * @param backEnd the back end chosen for the attempt; null for an earlier attempt whose answer is
   *     only received
   * @param link the link to the sidecar
   */
  FlowAttempt(AttemptId id, BackEnd backEnd, SidecarLink link) {
    this.id = id;
    this.backEnd = backEnd;
    this.link = link;
  }
}
