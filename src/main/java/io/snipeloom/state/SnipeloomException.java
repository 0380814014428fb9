package io.snipeloom.state;

import java.time.Duration;
import java.util.List;

/**
 * An unchecked error with a code, the step and the peer at which it arose, and whether the request
 * ran.
 *
 * <p>Instances are created with {@link #of} and refined with the {@code with} methods.
 */
public final class SnipeloomException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final String step;
  private final String peer;
  private final RunState runState;
  private final long retryAfterMillis;
  private final transient List<Violation> violations;

  private SnipeloomException(
      ErrorCode code,
      String message,
      String step,
      String peer,
      RunState runState,
      long retryAfterMillis,
      List<Violation> violations,
      Throwable cause) {
    super(message, cause);
    this.code = code;
    this.step = step;
    this.peer = peer;
    this.runState = runState;
    this.retryAfterMillis = retryAfterMillis;
    this.violations = violations;
  }

  /**
   * Returns an error for a request that was not run.
   *
   * @param code the error code
   * @param message what went wrong, without secrets
   * @return the error
   */
  public static SnipeloomException of(ErrorCode code, String message) {
    return new SnipeloomException(code, message, "", "", RunState.NOT_RUN, 0, List.of(), null);
  }

  /**
   * Returns a copy with a cause.
   *
   * @param cause the underlying error
   * @return the copy
   */
  public SnipeloomException withCause(Throwable cause) {
    return new SnipeloomException(
        code, getMessage(), step, peer, runState, retryAfterMillis, violations, cause);
  }

  /**
   * Returns a copy that names where the error arose.
   *
   * @param newStep the step of the flow, such as {@code dispatch}
   * @param newPeer the peer, such as an instance id; empty if none
   * @return the copy
   */
  public SnipeloomException withOrigin(String newStep, String newPeer) {
    return new SnipeloomException(
        code, getMessage(), newStep, newPeer, runState, retryAfterMillis, violations, getCause());
  }

  /**
   * Returns a copy that states whether the request ran.
   *
   * @param newRunState whether the request ran
   * @return the copy
   */
  public SnipeloomException withRunState(RunState newRunState) {
    return new SnipeloomException(
        code, getMessage(), step, peer, newRunState, retryAfterMillis, violations, getCause());
  }

  /**
   * Returns a copy that tells the caller when to come back.
   *
   * @param delay the time after which a new try makes sense
   * @return the copy
   */
  public SnipeloomException withRetryAfter(Duration delay) {
    return new SnipeloomException(
        code, getMessage(), step, peer, runState, delay.toMillis(), violations, getCause());
  }

  /**
   * Returns a copy that names each wrong place of an input.
   *
   * @param newViolations the wrong places
   * @return the copy
   */
  public SnipeloomException withViolations(List<Violation> newViolations) {
    return new SnipeloomException(
        code,
        getMessage(),
        step,
        peer,
        runState,
        retryAfterMillis,
        List.copyOf(newViolations),
        getCause());
  }

  /**
   * Returns the error code.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns the step at which the error arose.
   *
   * @return the step; empty if unknown
   */
  public String step() {
    return step;
  }

  /**
   * Returns the peer at which the error arose.
   *
   * @return the peer; empty if none
   */
  public String peer() {
    return peer;
  }

  /**
   * Returns whether the request ran.
   *
   * @return whether the request ran
   */
  public RunState runState() {
    return runState;
  }

  /**
   * Returns the delay after which a new try makes sense.
   *
   * @return the delay in milliseconds; 0 if none is known
   */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }

  /**
   * Returns the wrong places of an input.
   *
   * @return the places; empty if the error does not concern an input
   */
  public List<Violation> violations() {
    return violations == null ? List.of() : violations;
  }
}
