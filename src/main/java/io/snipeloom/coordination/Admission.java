package io.snipeloom.coordination;

import java.util.concurrent.CompletionStage;

/**
 * The answer of an {@link AdmissionQueue} to one request.
 *
 * <p>Thread-safe. Whoever was granted a turn, now or later, calls {@link #release} when the request
 * has ended; whoever no longer wants to wait calls it too.
 */
public interface Admission {

  /** What the queue decided when it was asked. */
  enum Decision {
    /** The request may be sent now. */
    GRANTED,
    /** The request waits. */
    QUEUED,
    /** The request was refused. */
    REFUSED
  }

  /**
   * Returns the decision.
   *
   * @return the decision at the time of the offer
   */
  Decision decision();

  /**
   * Returns the turn of the request.
   *
   * @return a stage that completes when the request may be sent, and fails with a {@link
   *     io.snipeloom.state.SnipeloomException} that carries a time to come back as soon as the
   *     queue gives up on it
   */
  CompletionStage<Void> granted();

  /**
   * Ends the request: gives its slot to the next, or leaves the queue. Repeated calls do nothing.
   */
  void release();
}
