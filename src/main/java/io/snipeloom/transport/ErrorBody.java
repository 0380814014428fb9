package io.snipeloom.transport;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import java.util.List;

/** The JSON body of every error response: {@code {"error": {...}}}. */
public record ErrorBody(Detail error) {

  /** Returns the body that describes an exception. */
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
   * Returns the body of an error that names neither a step nor a peer.
   *
   * @param message the error description; it must not contain secrets
   */
  public static ErrorBody of(ErrorCode code, String message) {
    return of(SnipeloomException.of(code, message));
  }

  /**
   * The error of a response.
   *
   * @param code the text form of the {@link ErrorCode}
   * @param message a description of the error
   * @param step the step that failed; empty if unknown
   * @param peer the remote process involved; empty if none
   * @param run whether the request was executed: {@code ran}, {@code not run} or {@code unknown}
   * @param retryAfterMillis the delay before a retry is useful, in milliseconds; 0 if unknown
   * @param violations the invalid fields of the input; empty if none
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

    /** Copies the violations; null becomes an empty list. */
    public Detail {
      violations = violations == null ? List.of() : List.copyOf(violations);
    }
  }
}
