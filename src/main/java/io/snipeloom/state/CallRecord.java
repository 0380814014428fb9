package io.snipeloom.state;

/**
 * The state of a non-idempotent call according to the log.
 *
 * @param attempt the attempt that the call is bound to
 * @param sidecar the only sidecar incarnation that may run the call
 * @param requestDigest a digest of the request, used to detect a key reused for another request
 * @param offset the log offset of the accepted intent
 * @param outcome the outcome; null until one is recorded
 */
public record CallRecord(
    RequestKey key,
    AttemptId attempt,
    Incarnation sidecar,
    String requestDigest,
    long offset,
    RunState outcome) {

  /** Returns whether an outcome has been recorded. */
  public boolean hasOutcome() {
    return outcome != null;
  }

  /** Returns a copy with the given outcome. */
  public CallRecord withOutcome(RunState newOutcome) {
    return new CallRecord(key, attempt, sidecar, requestDigest, offset, newOutcome);
  }
}
