package io.snipeloom.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events into complete events and records the last event ID.
 *
 * <p>Only complete events are passed on, so that a stream can be resumed at another replica without
 * lost or duplicated parts. Not thread-safe.
 */
final class EventStream {
  private static final String ID_FIELD = "id:";
  private static final String COMMENT_PREFIX = ":";
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private final ByteBuf pending = Unpooled.buffer();
  private String lastEventId = "";
  private String previousId = "";
  private boolean outOfOrder;
  private int eventCount;
  private int eventsBeforeAttempt;

  /**
   * Appends bytes and returns the events that are now complete and go on with the stream; the
   * result may be empty.
   */
  ByteBuf append(ByteBuf content) {
    pending.writeBytes(content);
    int start = pending.readerIndex();
    int end = endOfEvent(start);
    while (end >= 0 && !outOfOrder) {
      outOfOrder = !accept(pending.toString(start, end - start, StandardCharsets.UTF_8));
      start = outOfOrder ? start : end;
      end = endOfEvent(start);
    }
    ByteBuf complete = Unpooled.copiedBuffer(pending.readSlice(start - pending.readerIndex()));
    pending.discardReadBytes();
    return complete;
  }

  /** Sets the last event that came before the stream, after which its events go on. */
  void startAfter(String eventId) {
    previousId = eventId;
  }

  /**
   * Returns whether the current attempt sent an event that does not go on with the stream: one
   * without an ID after others with one, or one that the caller has.
   */
  boolean isOutOfOrder() {
    return outOfOrder;
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
    outOfOrder = false;
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

  /** Returns the index after the blank line that ends the next event; -1 if there is none yet. */
  private int endOfEvent(int from) {
    boolean lineEmpty = true;
    for (int i = from; i < pending.writerIndex(); i++) {
      byte b = pending.getByte(i);
      if (b == '\n') {
        if (lineEmpty) {
          return i + 1;
        }
        lineEmpty = true;
      } else if (b != '\r') {
        lineEmpty = false;
      }
    }
    return -1;
  }

  /** Records an event; returns false if it does not go on with the stream. */
  private boolean accept(String event) {
    String id = "";
    boolean empty = true;
    boolean comment = true;
    for (String line : event.split("\r?\n", -1)) {
      empty &= line.isEmpty();
      comment &= line.isEmpty() || line.startsWith(COMMENT_PREFIX);
      if (line.startsWith(ID_FIELD)) {
        id = line.substring(ID_FIELD.length()).trim();
      }
    }
    if (!comment && !follows(id)) {
      return false;
    }
    if (!id.isEmpty()) {
      lastEventId = id;
      previousId = id;
    }
    if (!empty) {
      eventCount++;
    }
    return true;
  }

  /** Returns whether an event may follow the one before: once events have IDs, the IDs rise. */
  private boolean follows(String id) {
    if (previousId.isEmpty()) {
      return true;
    }
    boolean comparable = NUMBER.matcher(id).matches() && NUMBER.matcher(previousId).matches();
    return comparable ? Long.parseLong(id) > Long.parseLong(previousId) : !id.isEmpty();
  }
}
