package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Sends the response of one request to its caller. */
interface CallerChannel {

  /** Returns whether the connection to the caller is open. */
  boolean isOpen();

  /** Returns whether the write buffer has room for more content. */
  boolean isWritable();

  /** Sends a complete response. */
  void sendResponse(int status, HttpHeaders headers, ByteBuf body);

  /** Sends the status and headers of a streamed response. */
  void sendHead(int status, HttpHeaders headers);

  /** Sends a part of a streamed response. */
  void sendContent(ByteBuf part);

  /** Ends a streamed response as complete. */
  void sendEnd();

  /** Closes the connection in the middle of a response, so that the caller sees it as truncated. */
  void abort();
}
