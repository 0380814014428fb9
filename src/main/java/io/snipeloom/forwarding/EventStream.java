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
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final char COMMENT_PREFIX = ':';
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private final ByteBuf pending = Unpooled.buffer();
  private String lastEventId = "";
  private String previousId = "";
  private boolean outOfOrder;

  /** The bytes of the next event in which its end was looked for already. */
  private int scannedBytes;

  /** Whether the line at which the scan stopped is empty so far. */
  private boolean lineEmpty = true;

  private int commentBytes;
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
      outOfOrder = !accept(start, end);
      start = outOfOrder ? start : end;
      restartScan();
      end = endOfEvent(start);
    }
    ByteBuf complete = Unpooled.copiedBuffer(pending.readSlice(start - pending.readerIndex()));
    pending.discardReadBytes();
    return complete;
  }

  private void restartScan() {
    scannedBytes = 0;
    lineEmpty = true;
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
    restartScan();
    return remainder;
  }

  /** Discards the bytes after the last complete event, before the next attempt. */
  void beginAttempt() {
    pending.clear();
    restartScan();
    commentBytes = 0;
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

  /** Returns the number of bytes after the last complete event that is not a comment. */
  int bytesSinceEvent() {
    return commentBytes + partialBytes();
  }

  int eventCount() {
    return eventCount;
  }

  /**
   * Returns the index after the blank line that ends the next event; -1 if there is none yet. Goes
   * on where it stopped, so that an event that arrives byte by byte is looked through once.
   */
  private int endOfEvent(int from) {
    for (int i = from + scannedBytes; i < pending.writerIndex(); i++) {
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
    scannedBytes = pending.writerIndex() - from;
    return -1;
  }

  /** Records the event between two indexes; returns false if it does not go on with the stream. */
  private boolean accept(int start, int end) {
    String id = "";
    boolean empty = true;
    boolean comment = true;
    int lineStart = start;
    while (lineStart < end) {
      int lineBreak = pending.indexOf(lineStart, end, (byte) '\n');
      int lineEnd = endOfLine(lineStart, lineBreak);
      boolean lineHasText = lineEnd > lineStart;
      empty &= !lineHasText;
      comment &= !lineHasText || pending.getByte(lineStart) == COMMENT_PREFIX;
      if (isId(lineStart, lineEnd)) {
        id = textOf(lineStart + ID_FIELD.length, lineEnd).trim();
      }
      lineStart = lineBreak + 1;
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
    commentBytes = comment ? commentBytes + end - start : 0;
    return true;
  }

  /** Returns the end of the text of a line, before its line break. */
  private int endOfLine(int lineStart, int lineBreak) {
    boolean carriageReturn = lineBreak > lineStart && pending.getByte(lineBreak - 1) == '\r';
    return carriageReturn ? lineBreak - 1 : lineBreak;
  }

  private boolean isId(int lineStart, int lineEnd) {
    if (lineEnd - lineStart < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (pending.getByte(lineStart + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private String textOf(int start, int end) {
    return pending.toString(start, end - start, StandardCharsets.UTF_8);
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
