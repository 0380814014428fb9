package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** The way back to the caller of one request. */
interface CallerChannel {

  /** Returns whether the caller is still there. */
  boolean isOpen();

  /** Returns whether more can be written without piling up. */
  boolean isWritable();

  /** Sends a whole answer. */
  void sendWhole(int status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of a stream. */
  void sendHead(int status, HttpHeaders headers);

  /** Sends a part of a stream. */
  void sendPart(ByteBuf part);

  /** Ends a stream as complete. */
  void sendEnd();

  /** Breaks an answer off, so that it cannot look complete. */
  void breakOff();
}
