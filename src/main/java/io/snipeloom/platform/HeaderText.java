package io.snipeloom.platform;

import java.nio.charset.StandardCharsets;

/**
 * Writes any text as the value of a header, in UTF-8.
 *
 * <p>Stateless and thread-safe.
 */
final class HeaderText {
  private static final char DELETE = 127;

  private HeaderText() {}

  /**
   * Returns whether a text arrives as it is: a header cannot hold control characters, and white
   * space around its value is dropped.
   */
  static boolean isSendable(String text) {
    return StandardCharsets.UTF_8.newEncoder().canEncode(text)
        && text.chars().noneMatch(HeaderText::isControl)
        && !isBlankAt(text, 0)
        && !isBlankAt(text, text.length() - 1);
  }

  /** Returns the bytes of a text, one in each character, as headers are written. */
  static String encoded(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  private static boolean isControl(int character) {
    return (character != '\t' && character < ' ') || character == DELETE;
  }

  private static boolean isBlankAt(String text, int index) {
    return !text.isEmpty() && (text.charAt(index) == ' ' || text.charAt(index) == '\t');
  }
}
