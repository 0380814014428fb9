package io.snipeloom.state;

/**
 * What the log says about a call that may not be repeated.
 *
 * @param key the request
 * @param attempt the attempt that the call is bound to
 * @param sidecar the sidecar incarnation that alone may run it
 * @param requestDigest a digest of the request, to tell a repeat from another request
 * @param offset the offset of the intent
 * @param outcome the outcome; null while none is recorded
 */
public record CallRecord(
    RequestKey key,
    AttemptId attempt,
    Incarnation sidecar,
    String requestDigest,
    long offset,
    RunState outcome) {

  /**
   * Returns whether an outcome is recorded.
   *
   * @return true if there is an outcome
   */
  public boolean hasOutcome() {
    return outcome != null;
  }

  /**
   * Returns a copy with an outcome.
   *
   * @param newOutcome the outcome
   * @return the copy
   */
  public CallRecord withOutcome(RunState newOutcome) {
    return new CallRecord(key, attempt, sidecar, requestDigest, offset, newOutcome);
  }
}
