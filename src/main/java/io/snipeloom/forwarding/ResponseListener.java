package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request on a client connection. After {@link #onEnd} or {@link
 * #onFailure} only {@link #onRequestReleased} may follow.
 */
interface ResponseListener {

  /** Returns the ID by which the peer names the request in its response, empty if it has none. */
  default String requestId() {
    return "";
  }

  /** Called just before the request is written; from now on the peer may execute it. */
  default void onSent() {}

  /** Called once when the request was written or can never be, also after the response. */
  default void onRequestReleased() {}

  /**
   * Called with the status line and headers of a response.
   *
   * @return false if the response belongs to another request and must be skipped
   */
  boolean onHead(HttpResponse head);

  /**
   * Called with a part of the body.
   *
   * @param content the bytes, which are released after the call
   */
  void onContent(ByteBuf content);

  /** Called when the response is complete. */
  void onEnd();

  /**
   * Called when the connection failed before the response was complete.
   *
   * @param reason a description of the failure
   */
  void onFailure(String reason);
}
