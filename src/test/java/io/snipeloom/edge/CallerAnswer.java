package io.snipeloom.edge;

import java.util.Locale;

/**
 * What a caller got on a connection that was closed then.
 *
 * @param isWhole whether the caller must take the body for a complete one
 */
record CallerAnswer(int status, boolean isSigned, String body, boolean isWhole) {
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String LENGTH = "\r\ncontent-length:";

  /** Reads an answer; nothing, or a part of a head, has the status 599 and is not signed. */
  static CallerAnswer parse(String text) {
    int end = text.indexOf(END_OF_HEAD);
    if (end < 0) {
      return new CallerAnswer(599, false, text, false);
    }
    String head = text.substring(0, end + 2).toLowerCase(Locale.ROOT);
    String rest = text.substring(end + END_OF_HEAD.length());
    int status = Integer.parseInt(head.split(" ", 3)[1]);
    boolean signed = head.contains("\r\nsnipeloom-replica-signature:");
    if (head.contains("\r\ntransfer-encoding: chunked")) {
      return ofChunks(status, signed, rest);
    }
    int lengthAt = head.indexOf(LENGTH);
    boolean whole =
        lengthAt < 0
            || rest.length()
                == Integer.parseInt(
                    head.substring(lengthAt + LENGTH.length(), head.indexOf("\r\n", lengthAt + 2))
                        .trim());
    return new CallerAnswer(status, signed, rest, whole);
  }

  private static CallerAnswer ofChunks(int status, boolean signed, String chunks) {
    StringBuilder body = new StringBuilder();
    int at = 0;
    while (chunks.indexOf("\r\n", at) >= 0) {
      int sizeEnd = chunks.indexOf("\r\n", at);
      int size = Integer.parseInt(chunks.substring(at, sizeEnd).trim(), 16);
      if (size == 0) {
        return new CallerAnswer(status, signed, body.toString(), chunks.endsWith("0\r\n\r\n"));
      }
      int begin = sizeEnd + 2;
      body.append(
          chunks, Math.min(begin, chunks.length()), Math.min(begin + size, chunks.length()));
      at = Math.min(begin + size + 2, chunks.length());
    }
    return new CallerAnswer(status, signed, body.toString(), false);
  }
}
