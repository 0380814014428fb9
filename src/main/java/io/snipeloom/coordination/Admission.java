package io.snipeloom.coordination;

import java.util.concurrent.CompletionStage;

/**
 * The response of an {@link AdmissionQueue} to one request for admission.
 *
 * <p>Thread-safe. The owner of the request calls {@link #release} when the request has ended or
 * when it no longer wants to wait.
 */
public interface Admission {

  /** The decision at the time of the offer. */
  enum Decision {
    /** The request may be sent now. */
    GRANTED,
    /** The request waits in the queue. */
    QUEUED,
    /** The request was refused. */
    REFUSED
  }

  /** Returns the decision that was made when the request was offered. */
  Decision decision();

  /**
   * Returns a stage that completes when the request may be sent.
   *
   * @return the stage; if the queue refuses the request, now or later, it fails with a {@link
   *     io.snipeloom.state.SnipeloomException} that carries a retry delay
   */
  CompletionStage<Void> granted();

  /**
   * Releases the slot of the request, or removes the request from the queue if it still waits.
   * Idempotent.
   */
  void release();
}
