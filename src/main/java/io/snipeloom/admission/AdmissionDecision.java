package io.snipeloom.admission;

/**
 * Whether a request is sent to a replica now. Immutable.
 *
 * @param admitted whether it is sent
 * @param reason why it is not, empty if it is
 * @param retryMillis when its caller may come back, in milliseconds; 0 if it is admitted
 */
public record AdmissionDecision(boolean admitted, String reason, long retryMillis) {

  /** The decision that a request is sent. */
  public static final AdmissionDecision ADMITTED = new AdmissionDecision(true, "", 0);

  /**
   * Returns the decision that a request is refused.
   *
   * @param reason why
   * @param retryMillis when its caller may come back, in milliseconds
   */
  public static AdmissionDecision refused(String reason, long retryMillis) {
    return new AdmissionDecision(false, reason, retryMillis);
  }
}
