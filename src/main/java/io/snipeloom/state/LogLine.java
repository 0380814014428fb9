package io.snipeloom.state;

/**
 * Builds the text of a log event as key=value pairs with escaped values, for example {@code
 * LogLine.of("link.lost").with("peer", peer).toString()}.
 *
 * <p>Not thread-safe.
 */
public final class LogLine {
  private final StringBuilder text;

  private LogLine(String event) {
    this.text = new StringBuilder("event=").append(event);
  }

  /**
   * Returns a line for an event.
   *
   * @param event the name of the event, in lower case with its parts separated by dots
   */
  public static LogLine of(String event) {
    return new LogLine(event);
  }

  /**
   * Appends a key=value pair.
   *
   * @param value the value, which is quoted if it is empty or contains anything other than
   *     printable ASCII characters without space, quotation mark, backslash and equals sign
   * @return this line
   */
  public LogLine with(String key, Object value) {
    text.append(' ').append(key).append('=');
    appendEscaped(String.valueOf(value));
    return this;
  }

  private void appendEscaped(String value) {
    if (isPlain(value)) {
      text.append(value);
      return;
    }
    text.append('"');
    value.chars().forEach(this::appendEscapedChar);
    text.append('"');
  }

  private void appendEscapedChar(int character) {
    if (character == '"' || character == '\\') {
      text.append('\\').append((char) character);
    } else if (character < ' ' || character == 0x7f) {
      text.append(String.format("\\u%04x", character));
    } else {
      text.append((char) character);
    }
  }

  private static boolean isPlain(String value) {
    return !value.isEmpty()
        && value.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=');
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
