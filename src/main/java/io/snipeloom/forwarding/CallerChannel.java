package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.snipeloom.buffering.ResponseBuffer;

/** Sends the response of one request to its caller. */
interface CallerChannel {

  /** Returns whether the connection to the caller is open, as far as it has been read. */
  boolean isOpen();

  /**
   * Reads what has arrived from the caller and returns whether it is still connected.
   *
   * <p>Called just before a request is sent to a replica: a close that the event loop has not come
   * to read yet counts. Must not be called while the connection is being read.
   */
  boolean isStillConnected();

  /** Returns the buffer in which each byte of a replica's response is counted when received. */
  ResponseBuffer buffer();

  /** Sends a complete response of a replica. */
  void sendResponse(int status, HttpHeaders headers, ByteParts body);

  /** Sends a complete response of this instance, whose bytes have not been counted. */
  void sendLocalResponse(int status, HttpHeaders headers, ByteBuf body);

  /** Sends the status and headers of a streamed response. */
  void sendHead(int status, HttpHeaders headers);

  /** Sends a part of a streamed response. */
  void sendContent(ByteBuf part);

  /** Ends a streamed response as complete. */
  void sendEnd();

  /** Cuts off the current response because it cannot be held, and logs it. */
  void cutOff(String reason);

  /** Closes the connection in the middle of a response, so that the caller sees it as truncated. */
  void abort();
}
