package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a body into whole events and remembers the last one.
 *
 * <p>Only whole events are passed on, so that a stream can be resumed at another replica without a
 * piece that is missing or comes twice. Not thread-safe.
 */
final class EventStream {
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();
  private String lastEventId = "";
  private int events;

  /** Takes bytes and returns the whole events among them, possibly none. */
  ByteBuf append(ByteBuf content) {
    pending.writeBytes(content);
    int end = endOfWholeEvents();
    ByteBuf whole = Unpooled.copiedBuffer(pending.readSlice(end));
    pending.discardReadBytes();
    if (whole.isReadable()) {
      scan(whole);
    }
    return whole;
  }

  /** Returns what follows the last whole event. */
  ByteBuf takeRest() {
    ByteBuf rest = Unpooled.copiedBuffer(pending);
    pending.clear();
    return rest;
  }

  /** Drops what follows the last whole event, before a stream is resumed. */
  void dropRest() {
    pending.clear();
  }

  Optional<String> lastEventId() {
    return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
  }

  int events() {
    return events;
  }

  private int endOfWholeEvents() {
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
   * Returns the number of bytes up to and with the blank line whose first newline is at an index.
   */
  private int afterBlankLine(int firstNewline) {
    int next = pending.indexOf(firstNewline + 1, pending.writerIndex(), (byte) '\n');
    return next + 1 - pending.readerIndex();
  }

  private void scan(ByteBuf whole) {
    String text = whole.toString(StandardCharsets.UTF_8);
    boolean inEvent = false;
    for (String line : text.split("\r?\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        lastEventId = line.substring(ID_FIELD.length()).trim();
      }
      if (line.isEmpty() && inEvent) {
        events++;
      }
      inEvent = !line.isEmpty();
    }
  }
}
