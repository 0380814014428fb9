package io.snipeloom.state;

import java.util.regex.Pattern;

/** Checks the text form that all identifiers share. */
final class Identifiers {
  private static final Pattern SHAPE = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:#-]{0,95}");

  private static final int MAX_SHOWN_CHARACTERS = 120;

  private Identifiers() {}

  /**
   * Returns the text unchanged if it is a well-formed identifier.
   *
   * @param kind the kind of identifier, for the error text
   * @param value the text to check
   * @return the same text
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  static String requireWellFormed(String kind, String value) {
    if (!isWellFormed(value)) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_IDENTIFIER,
          kind + " must match " + SHAPE + " but was " + shortened(value));
    }
    return value;
  }

  static boolean isWellFormed(String value) {
    return value != null && SHAPE.matcher(value).matches();
  }

  static String shortened(String value) {
    return value == null || value.length() <= MAX_SHOWN_CHARACTERS
        ? value
        : value.substring(0, MAX_SHOWN_CHARACTERS) + "...";
  }
}
