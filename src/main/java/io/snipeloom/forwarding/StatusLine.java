package io.snipeloom.forwarding;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The status line of a response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param minorVersion the digit after HTTP/1.
 * @param status the status code, 100 to 599
 */
record StatusLine(int minorVersion, int status) {
  /** Version, status and an optional reason, which holds no control characters but tabs. */
  private static final Pattern FORMAT =
      Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9]{2})(?: [\\t\\x20-\\x7E\\x80-\\xFF]*)?");

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /**
   * Parses a line without its end.
   *
   * @return the status line, empty if it is malformed or switches to another protocol
   */
  static Optional<StatusLine> parse(String line) {
    Matcher matcher = FORMAT.matcher(line);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int status = Integer.parseInt(matcher.group(2));
    return status == SWITCHING_PROTOCOLS
        ? Optional.empty()
        : Optional.of(new StatusLine(Integer.parseInt(matcher.group(1)), status));
  }

  /** Returns whether a response with this status has no body, whatever its head says. */
  boolean hasNoBody() {
    return status < FIRST_FINAL || status == NO_CONTENT || status == NOT_MODIFIED;
  }

  /** Returns whether the version has chunks. */
  boolean mayBeChunked() {
    return minorVersion > 0;
  }
}
