package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the head of another response in the body of one, where a peer responded a second time
 * before the end of the first. A body that only quotes a head is told from it by the ID of a
 * request of this connection, which the head names. Confined to the event loop thread.
 */
final class JoinedBody {
  private static final String HEAD_START = "HTTP/1.";

  /** The most characters of a head in which the ID is looked for. */
  private static final int MAX_HEAD_CHARS = 1_024;

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] \\d{3}[^\\r\\n]{0,64}\\r?\\n");
  private static final Pattern HEADER_LINE = Pattern.compile("[^:\\r\\n]+:([^\\r\\n]*)\\r?\\n");

  private final Predicate<String> isRequestId;

  /** The end of the body so far, in which a head may have begun. */
  private String end = "";

  /**
   * Creates the search in one body.
   *
   * @param isRequestId returns whether a value is the ID of a request of the connection
   */
  JoinedBody(Predicate<String> isRequestId) {
    this.isRequestId = isRequestId;
  }

  /** Adds a part of the body; returns whether the body holds the head of another response. */
  boolean isJoinedBy(ByteBuf part) {
    String text = end + part.toString(StandardCharsets.ISO_8859_1);
    for (int at = text.indexOf(HEAD_START); at >= 0; at = text.indexOf(HEAD_START, at + 1)) {
      if (namesRequest(text, at)) {
        return true;
      }
    }
    end = undecidedEnd(text);
    return false;
  }

  /** Returns whether the body ends inside what may be the head of another response. */
  boolean endsInsideHead() {
    return STATUS_LINE.matcher(end).lookingAt();
  }

  private boolean namesRequest(String text, int at) {
    int limit = Math.min(text.length(), at + MAX_HEAD_CHARS);
    Matcher status = STATUS_LINE.matcher(text).region(at, limit);
    if (!status.lookingAt()) {
      return false;
    }
    Matcher header = HEADER_LINE.matcher(text).region(status.end(), limit);
    while (header.lookingAt()) {
      if (isRequestId.test(header.group(1).trim())) {
        return true;
      }
      header.region(header.end(), limit);
    }
    return false;
  }

  private static String undecidedEnd(String text) {
    int head = text.indexOf(HEAD_START, Math.max(0, text.length() - MAX_HEAD_CHARS));
    return text.substring(head >= 0 ? head : Math.max(0, text.length() - HEAD_START.length() + 1));
  }
}
