package io.snipeloom.forwarding;

import java.util.Optional;

/**
 * A line of a head or a trailer: the name of a field and its value, without white space around it.
 *
 * <p>Immutable and thread-safe.
 */
record FieldLine(String name, String value) {
  private static final String NAME_MARKS = "!#$%&'*+-.^_`|~";
  private static final char DELETE = 127;

  /**
   * Parses a line without its end.
   *
   * @return the line, empty if the name is not a token that a colon follows, or the value holds
   *     control characters
   */
  static Optional<FieldLine> parse(String line) {
    int colon = line.indexOf(':');
    if (colon <= 0 || !line.substring(0, colon).chars().allMatch(FieldLine::isInName)) {
      return Optional.empty();
    }
    String value = line.substring(colon + 1);
    return isValue(value)
        ? Optional.of(new FieldLine(line.substring(0, colon), value.strip()))
        : Optional.empty();
  }

  /** Returns whether a line goes on with the value of the line before it, by an old rule. */
  static boolean isFolded(String line) {
    return line.charAt(0) == ' ' || line.charAt(0) == '\t';
  }

  /** Returns whether a text holds no control characters but tabs. */
  static boolean isValue(String text) {
    return text.chars().allMatch(c -> (c >= ' ' && c != DELETE) || c == '\t');
  }

  private static boolean isInName(int c) {
    boolean isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || (c >= '0' && c <= '9') || NAME_MARKS.indexOf(c) >= 0;
  }

  /** Returns whether this is the line of a field, whose name is given in lower case. */
  boolean is(String field) {
    return name.equalsIgnoreCase(field);
  }
}
