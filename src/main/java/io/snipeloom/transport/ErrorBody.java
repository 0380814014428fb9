package io.snipeloom.transport;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import java.util.List;

/**
 * The JSON body of every error answer: {@code {"error": {...}}}.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

  /**
   * Returns the body that tells an error.
   *
   * @param exception the error
   * @return the body
   */
  public static ErrorBody of(SnipeloomException exception) {
    return new ErrorBody(
        new Detail(
            exception.code().text(),
            exception.getMessage(),
            exception.step(),
            exception.peer(),
            exception.runState().text(),
            exception.retryAfterMillis(),
            exception.violations()));
  }

  /**
   * Returns the body of an error without a place.
   *
   * @param code the error code
   * @param message what went wrong, without secrets
   * @return the body
   */
  public static ErrorBody of(ErrorCode code, String message) {
    return of(SnipeloomException.of(code, message));
  }

  /**
   * The error.
   *
   * @param code the documented code
   * @param message what went wrong
   * @param step the step at which it arose; empty if unknown
   * @param peer the peer at which it arose; empty if none
   * @param run whether the request ran: {@code ran}, {@code not run} or {@code unknown}
   * @param retryAfterMillis when a new try makes sense, in milliseconds; 0 if unknown
   * @param violations each wrong place of an input
   */
  @JsonInclude(JsonInclude.Include.ALWAYS)
  public record Detail(
      String code,
      String message,
      String step,
      String peer,
      String run,
      long retryAfterMillis,
      List<Violation> violations) {

    /** Copies the violations. */
    public Detail {
      violations = violations == null ? List.of() : List.copyOf(violations);
    }
  }
}
