package io.snipeloom.daemon;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Violation;
import java.util.List;
import java.util.regex.Pattern;

/** Relates the violations of a change to the fields of one form. */
final class ConsoleErrors {
  private static final Pattern ENTRY_POINTER = Pattern.compile("^/edits/0/[A-Za-z]+");
  private static final String OWN_ENTRY = "/edits/0/entry";
  private static final String ELSEWHERE = "elsewhere: ";

  private ConsoleErrors() {}

  static SnipeloomException invalid(String pointer, String message) {
    return SnipeloomException.of(ErrorCode.INVALID_CONFIGURATION, message)
        .withViolations(List.of(new Violation(pointer, message)));
  }

  /** Returns the error with the places of the edit at this pointer put in its entry. */
  static SnipeloomException relativeTo(String pointer, SnipeloomException error) {
    return error.withViolations(
        error.violations().stream().map(found -> relativeTo(pointer, found)).toList());
  }

  private static Violation relativeTo(String pointer, Violation found) {
    return found.pointer().startsWith(pointer)
        ? new Violation(OWN_ENTRY + found.pointer().substring(pointer.length()), found.message())
        : new Violation(ELSEWHERE + found.pointer(), found.pointer() + ": " + found.message());
  }

  /** Returns the violations with pointers within the entry of a change of one edit. */
  static List<Violation> inEntry(SnipeloomException error) {
    if (error.violations().isEmpty()) {
      return List.of(new Violation("", error.getMessage()));
    }
    return error.violations().stream()
        .map(
            found ->
                new Violation(
                    ENTRY_POINTER.matcher(found.pointer()).replaceFirst(""), found.message()))
        .toList();
  }

  static String summary(SnipeloomException error) {
    return error.violations().isEmpty()
        ? error.getMessage()
        : String.join("; ", error.violations().stream().map(Violation::message).toList());
  }
}
