package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes the answer to one request on a client connection. After {@link #onEnd} or {@link #onBroken}
 * nothing more comes.
 */
interface AnswerListener {

  /** The request has been handed to the connection; from now on it may run. */
  default void onSent() {}

  /**
   * The head of an answer arrived.
   *
   * @param head the head
   * @return false if the answer does not belong to this request and is to be skipped
   */
  boolean onHead(HttpResponse head);

  /**
   * A part of the body arrived; the bytes are released after the call.
   *
   * @param content the bytes
   */
  void onContent(ByteBuf content);

  /** The answer is complete. */
  void onEnd();

  /**
   * The connection ended before the answer was complete.
   *
   * @param reason why, in a few words
   */
  void onBroken(String reason);
}
