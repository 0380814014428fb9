package io.snipeloom.forwarding;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response body is marked on the connection. */
enum ResponseFraming {
  /** No response has begun. */
  NONE(false),
  /** The head states the length of the body. */
  LENGTH(true),
  /** A last chunk ends the body. */
  CHUNKED(true),
  /** The body ends when the peer closes the connection. */
  CONNECTION_CLOSE(false);

  private final boolean explicit;

  ResponseFraming(boolean explicit) {
    this.explicit = explicit;
  }

  /** Returns the framing that the head of a response announces. */
  static ResponseFraming of(HttpResponse head) {
    if (HttpUtil.isTransferEncodingChunked(head)) {
      return CHUNKED;
    }
    return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION_CLOSE;
  }

  /** Returns whether the peer marks the end of the body and can send another response after it. */
  boolean isExplicit() {
    return explicit;
  }
}
