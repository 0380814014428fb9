package io.snipeloom.state;

import java.util.List;

/** The result of publishing a configuration change. */
public sealed interface PublishResult {

  /**
   * The change was accepted and is in effect.
   *
   * @param offset the log offset of the change
   */
  record Accepted(long offset) implements PublishResult {}

  /**
   * The change was refused and had no effect.
   *
   * @param message a summary of the violations
   * @param violations the rules that the change breaks or, for a conflict, the edited entries that
   *     have changed since the base of the change
   */
  record Refused(ErrorCode code, String message, List<Violation> violations)
      implements PublishResult {

    /** Copies the violations. */
    public Refused {
      violations = List.copyOf(violations);
    }

    /**
     * Converts an exception to a refusal.
     *
     * @param error the exception thrown by {@link ConfigurationDocument#with}
     */
    public static Refused of(SnipeloomException error) {
      return new Refused(error.code(), error.getMessage(), error.violations());
    }

    /** Converts the refusal to an exception with the same code, message and violations. */
    public SnipeloomException toException() {
      return SnipeloomException.of(code, message).withViolations(violations);
    }
  }
}
