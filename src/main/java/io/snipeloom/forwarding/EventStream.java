package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and records the last event ID.
 *
 * <p>Only complete events are passed on, so that a stream can be resumed at another replica without
 * lost or duplicated parts. Not thread-safe.
 */
final class EventStream {
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();
  private String lastEventId = "";
  private int eventCount;
  private int eventsBeforeAttempt;

  /** Appends bytes and returns the events that are now complete; the result may be empty. */
  ByteBuf append(ByteBuf content) {
    pending.writeBytes(content);
    int end = endOfCompleteEvents();
    ByteBuf complete = Unpooled.copiedBuffer(pending.readSlice(end));
    pending.discardReadBytes();
    if (complete.isReadable()) {
      scan(complete);
    }
    return complete;
  }

  /** Returns whether the bytes after the last complete event are the beginning of another event. */
  boolean isInsideEvent() {
    return pending.forEachByte(EventStream::isLineBreak) >= 0;
  }

  private static boolean isLineBreak(byte value) {
    return value == '\n' || value == '\r';
  }

  /** Returns and removes the bytes after the last complete event. */
  ByteBuf takeRemainder() {
    ByteBuf remainder = Unpooled.copiedBuffer(pending);
    pending.clear();
    return remainder;
  }

  /** Discards the bytes after the last complete event, before the next attempt. */
  void beginAttempt() {
    pending.clear();
    eventsBeforeAttempt = eventCount;
  }

  /** Returns the number of complete events since the current attempt began. */
  int eventsOfAttempt() {
    return eventCount - eventsBeforeAttempt;
  }

  Optional<String> lastEventId() {
    return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
  }

  /** Returns the number of bytes after the last complete event. */
  int partialBytes() {
    return pending.readableBytes();
  }

  int eventCount() {
    return eventCount;
  }

  private int endOfCompleteEvents() {
    int newlines = 0;
    for (int i = pending.writerIndex() - 1; i >= pending.readerIndex(); i--) {
      byte b = pending.getByte(i);
      if (b == '\n') {
        newlines++;
        if (newlines == 2) {
          return afterBlankLine(i);
        }
      } else if (b != '\r') {
        newlines = 0;
      }
    }
    return 0;
  }

  /**
   * Returns the number of readable bytes up to and including the blank line whose first newline is
   * at the given index.
   */
  private int afterBlankLine(int firstNewline) {
    int next = pending.indexOf(firstNewline + 1, pending.writerIndex(), (byte) '\n');
    return next + 1 - pending.readerIndex();
  }

  private void scan(ByteBuf complete) {
    String text = complete.toString(StandardCharsets.UTF_8);
    boolean inEvent = false;
    for (String line : text.split("\r?\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        lastEventId = line.substring(ID_FIELD.length()).trim();
      }
      if (line.isEmpty() && inEvent) {
        eventCount++;
      }
      inEvent = !line.isEmpty();
    }
  }
}
