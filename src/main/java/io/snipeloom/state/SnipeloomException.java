package io.snipeloom.state;

import java.time.Duration;
import java.util.List;

/**
 * An unchecked exception with an error code, the processing step and the peer at which the error
 * occurred, and whether the request ran.
 *
 * <p>Instances are created with {@link #of}; the {@code with} methods return modified copies.
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
   * Returns an exception for a request that was not run.
   *
   * @param message a description of the error, which must contain no secrets
   */
  public static SnipeloomException of(ErrorCode code, String message) {
    return new SnipeloomException(code, message, "", "", RunState.NOT_RUN, 0, List.of(), null);
  }

  /** Returns a copy with the given cause. */
  public SnipeloomException withCause(Throwable cause) {
    return new SnipeloomException(
        code, getMessage(), step, peer, runState, retryAfterMillis, violations, cause);
  }

  /**
   * Returns a copy with the step and the peer at which the error occurred.
   *
   * @param newStep the processing step, such as {@code dispatch}
   * @param newPeer the peer, such as an instance id; empty if none
   */
  public SnipeloomException withOrigin(String newStep, String newPeer) {
    return new SnipeloomException(
        code, getMessage(), newStep, newPeer, runState, retryAfterMillis, violations, getCause());
  }

  /** Returns a copy that states whether the request ran. */
  public SnipeloomException withRunState(RunState newRunState) {
    return new SnipeloomException(
        code, getMessage(), step, peer, newRunState, retryAfterMillis, violations, getCause());
  }

  /**
   * Returns a copy that tells the caller when to retry.
   *
   * @param delay the time after which the caller may retry
   */
  public SnipeloomException withRetryAfter(Duration delay) {
    return new SnipeloomException(
        code, getMessage(), step, peer, runState, delay.toMillis(), violations, getCause());
  }

  /** Returns a copy that lists each invalid part of an input. */
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

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns the processing step at which the error occurred.
   *
   * @return the step; empty if unknown
   */
  public String step() {
    return step;
  }

  /**
   * Returns the peer at which the error occurred.
   *
   * @return the peer; empty if none
   */
  public String peer() {
    return peer;
  }

  /** Returns whether the request ran. */
  public RunState runState() {
    return runState;
  }

  /**
   * Returns the delay after which the caller may retry.
   *
   * @return the delay in milliseconds; 0 if unknown
   */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }

  /**
   * Returns the invalid parts of an input.
   *
   * @return the violations; empty if the error does not concern an input
   */
  public List<Violation> violations() {
    return violations == null ? List.of() : violations;
  }
}
