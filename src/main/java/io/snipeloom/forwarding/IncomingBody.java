package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.snipeloom.buffering.RequestBuffer;

/** The body of a request while it is received, counted as it is allocated. Not thread-safe. */
final class IncomingBody {
  private final RequestBuffer buffer;
  private final ByteBuf bytes;

  /**
   * Creates an empty body.
   *
   * @param buffer counts the bytes; who takes the body releases it
   * @param maxBytes the most bytes that the body may have
   */
  IncomingBody(RequestBuffer buffer, int maxBytes) {
    this.buffer = buffer;
    this.bytes = Unpooled.buffer(0, maxBytes);
  }

  /** Returns the number of bytes received. */
  int readableBytes() {
    return bytes.readableBytes();
  }

  /** Appends bytes; returns false if they cannot be held. */
  boolean append(ByteBuf content) {
    bytes.ensureWritable(content.readableBytes());
    if (!buffer.tryGrowTo(bytes.capacity())) {
      return false;
    }
    bytes.writeBytes(content);
    return true;
  }

  /** Returns the received bytes. */
  ByteBuf bytes() {
    return bytes;
  }

  /** Returns what counts the bytes. */
  RequestBuffer buffer() {
    return buffer;
  }

  /** Releases the bytes and what counts them. */
  void release() {
    bytes.release();
    buffer.release();
  }
}
