package io.snipeloom.state;

import java.util.List;

/** What became of a proposed change of configuration. */
public sealed interface PublishResult {

  /**
   * The change is accepted and in force.
   *
   * @param offset the log offset of the change
   */
  record Accepted(long offset) implements PublishResult {}

  /**
   * The change is refused and had no effect.
   *
   * @param code why it is refused
   * @param message a summary
   * @param violations each wrong place; for a conflict, each entry that has changed since the base
   */
  record Refused(ErrorCode code, String message, List<Violation> violations)
      implements PublishResult {

    /** Copies the violations. */
    public Refused {
      violations = List.copyOf(violations);
    }

    /**
     * Returns the refusal that an error stands for.
     *
     * @param error the error that {@link ConfigurationDocument#with} threw
     * @return the refusal
     */
    public static Refused of(SnipeloomException error) {
      return new Refused(error.code(), error.getMessage(), error.violations());
    }

    /**
     * Returns the error that stands for this refusal.
     *
     * @return the error
     */
    public SnipeloomException toException() {
      return SnipeloomException.of(code, message).withViolations(violations);
    }
  }
}
