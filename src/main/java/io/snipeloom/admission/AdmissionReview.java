package io.snipeloom.admission;

/**
 * A decision with what it rests on. Immutable.
 *
 * @param decision the decision
 * @param note what was special about a request that was admitted, empty for most
 * @param firstMillis the predicted time to the first event, in milliseconds
 * @param endMillis the predicted time to the end, in milliseconds
 * @param strain how far replicas are from serving requests at least as urgent in time; 1 is in time
 * @param excess the part of the customer's requests that lies beyond its share, from 0 to 1
 * @param ageMillis the age of the oldest report, in milliseconds
 */
public record AdmissionReview(
    AdmissionDecision decision,
    String note,
    double firstMillis,
    double endMillis,
    double strain,
    double excess,
    long ageMillis) {

  /** The review of a request that is sent because too little is known to decide otherwise. */
  static final AdmissionReview UNKNOWN =
      new AdmissionReview(AdmissionDecision.ADMITTED, "", 0, 0, 0, 0, -1);

  /** Returns the reason of a refusal, what was special about an admission, or {@code admitted}. */
  public String outcome() {
    if (!decision.admitted()) {
      return decision.reason();
    }
    return note.isEmpty() ? "admitted" : note;
  }

  /** Returns whether the decision differs from sending the request as any other. */
  public boolean isSpecial() {
    return !decision.admitted() || !note.isEmpty();
  }
}
