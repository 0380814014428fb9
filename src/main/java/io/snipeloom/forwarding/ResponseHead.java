package io.snipeloom.forwarding;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.regex.Pattern;

/** Tells the head of one response from one that was decoded from parts of several. */
final class ResponseHead {
  private static final Pattern STATUS_LINE = Pattern.compile("(?i)HTTP/\\d\\.\\d\\s+\\d{3}");

  private ResponseHead() {}

  /**
   * Returns whether a head is that of a single response. If a response breaks off inside its head
   * and another one follows, the status line of the second ends a line of the first.
   */
  static boolean isSingle(HttpResponse head) {
    return isSupported(head.protocolVersion())
        && !holdsStatusLine(head.status().reasonPhrase())
        && head.headers().entries().stream()
            .map(Map.Entry::getValue)
            .noneMatch(ResponseHead::holdsStatusLine);
  }

  private static boolean isSupported(HttpVersion version) {
    return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
  }

  private static boolean holdsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }
}
