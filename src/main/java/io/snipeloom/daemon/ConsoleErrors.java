package io.snipeloom.daemon;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Translates the pointers of violations between a configuration change and the form of an entry.
 */
final class ConsoleErrors {
  private static final Pattern ENTRY_POINTER = Pattern.compile("^/edits/0/[A-Za-z]+");
  private static final String ONLY_ENTRY = "/edits/0/entry";
  private static final String OTHER_EDIT_PREFIX = "elsewhere: ";

  private ConsoleErrors() {}

  static SnipeloomException invalid(String pointer, String message) {
    return SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, message)
        .withViolations(List.of(new Violation(pointer, message)));
  }

  /**
   * Returns the error with its violations translated as if the edit at the given pointer were the
   * only edit of the change. Violations of other edits get a pointer that matches no field.
   */
  static SnipeloomException relativeTo(String pointer, SnipeloomException error) {
    return error.withViolations(
        error.violations().stream().map(violation -> relativeTo(pointer, violation)).toList());
  }

  private static Violation relativeTo(String pointer, Violation violation) {
    return violation.pointer().startsWith(pointer)
        ? new Violation(
            ONLY_ENTRY + violation.pointer().substring(pointer.length()), violation.message())
        : new Violation(
            OTHER_EDIT_PREFIX + violation.pointer(),
            violation.pointer() + ": " + violation.message());
  }

  /** Returns the violations of a change with one edit, with pointers relative to its entry. */
  static List<Violation> relativeToEntry(SnipeloomException error) {
    if (error.violations().isEmpty()) {
      return List.of(new Violation("", error.getMessage()));
    }
    return error.violations().stream()
        .map(
            violation ->
                new Violation(
                    ENTRY_POINTER.matcher(violation.pointer()).replaceFirst(""),
                    violation.message()))
        .toList();
  }

  static String summary(SnipeloomException error) {
    return error.violations().isEmpty()
        ? error.getMessage()
        : String.join("; ", error.violations().stream().map(Violation::message).toList());
  }
}
