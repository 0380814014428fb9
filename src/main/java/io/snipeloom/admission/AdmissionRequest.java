package io.snipeloom.admission;

import io.snipeloom.cost.RequestCost;

/**
 * A model request about which is decided. Immutable.
 *
 * @param service the service that would run it
 * @param kind the kind of request, which is its route
 * @param customer the customer, empty if there is none
 * @param priority the priority, 0 being the highest
 * @param targetMillis the expected time to the first event, in milliseconds; 0 if there is none
 * @param targetGapMillis the longest pause between events for which a response is on time, in
 *     milliseconds; 0 if there is none
 * @param remainingMillis how long the caller still waits, in milliseconds
 * @param cost what the request is likely to cost
 * @param uncachedTokens the prompt tokens that its replica would have to process
 */
public record AdmissionRequest(
    String service,
    String kind,
    String customer,
    int priority,
    long targetMillis,
    long targetGapMillis,
    long remainingMillis,
    RequestCost cost,
    long uncachedTokens) {
  /** How long callers wait at least for an event, in milliseconds. */
  private static final long PATIENCE_MILLIS = 2_000;

  /** Callers wait this many targets for an event, if that is longer. */
  private static final int PATIENCE_TARGETS = 4;

  /** Callers wait this many allowed pauses for an event, if that is longer. */
  private static final int PATIENCE_GAPS = 8;

  /** Returns how long the caller waits for the first event, in milliseconds. */
  long patienceMillis() {
    long patience =
        Math.max(
            PATIENCE_MILLIS,
            Math.max(PATIENCE_TARGETS * targetMillis, PATIENCE_GAPS * targetGapMillis));
    return Math.min(patience, remainingMillis);
  }
}
