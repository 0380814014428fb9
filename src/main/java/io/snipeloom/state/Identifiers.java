package io.snipeloom.state;

import java.util.regex.Pattern;

/** Validates the text form of identifiers, which is the same for all kinds. */
final class Identifiers {
  private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:#-]{0,95}");

  private static final int MAX_QUOTED_CHARACTERS = 120;

  private Identifiers() {}

  /**
   * Returns the text unchanged if it is a well-formed identifier.
   *
   * @param kind the kind of identifier, for the error message
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  static String requireWellFormed(String kind, String value) {
    if (!isWellFormed(value)) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_IDENTIFIER,
          kind + " must match " + FORMAT + " but was " + truncated(value));
    }
    return value;
  }

  static boolean isWellFormed(String value) {
    return value != null && FORMAT.matcher(value).matches();
  }

  /** Truncates a text for use in an error message. */
  static String truncated(String value) {
    return value == null || value.length() <= MAX_QUOTED_CHARACTERS
        ? value
        : value.substring(0, MAX_QUOTED_CHARACTERS) + "...";
  }
}
