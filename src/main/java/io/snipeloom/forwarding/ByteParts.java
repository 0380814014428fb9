package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bytes in parts of a bounded size, so that few bytes are allocated beyond those held, and written
 * ones can be released before the last. Not thread-safe.
 */
final class ByteParts {
  private static final int FIRST_BYTES = 256;
  private static final int PART_BYTES = 16_384;

  private final Deque<ByteBuf> parts = new ArrayDeque<>();
  private int readableBytes;

  /** Copies bytes to the end. */
  void append(ByteBuf content) {
    readableBytes += content.readableBytes();
    while (content.isReadable()) {
      ByteBuf last = parts.peekLast();
      if (last == null || last.maxWritableBytes() == 0) {
        last = Unpooled.buffer(FIRST_BYTES, PART_BYTES);
        parts.addLast(last);
      }
      last.writeBytes(content, Math.min(content.readableBytes(), last.maxWritableBytes()));
    }
  }

  /** Returns the number of bytes. */
  int readableBytes() {
    return readableBytes;
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /**
   * Removes and returns the first part, an empty buffer if there is none; the caller releases it.
   */
  ByteBuf poll() {
    if (parts.isEmpty()) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf first = parts.pollFirst();
    readableBytes -= first.readableBytes();
    return first;
  }

  /** Releases all bytes and returns how many there were. */
  int clear() {
    final int cleared = readableBytes;
    parts.forEach(ByteBuf::release);
    parts.clear();
    readableBytes = 0;
    return cleared;
  }
}
