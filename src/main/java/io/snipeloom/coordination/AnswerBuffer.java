package io.snipeloom.coordination;

import io.snipeloom.protocol.Header;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.transport.FrameConnection;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Buffers the frames of one answer, so that several readers can receive it at their own speed and
 * from a sequence number of their choice.
 *
 * <p>Each reader has its own window of unacknowledged chunks, so a slow reader does not delay the
 * others. Once the buffer exceeds its size limit, chunks that all readers have acknowledged are
 * dropped. Not thread-safe.
 */
final class AnswerBuffer {
  private static final int CHUNK_OVERHEAD_BYTES = 64;

  private final AttemptId attempt;
  private final int windowChunks;
  private final long maxBytes;
  private final List<Message.AnswerChunk> chunks = new ArrayList<>();
  private final Map<FrameConnection, Reader> readers = new LinkedHashMap<>();
  private Message.AnswerHead head;
  private Message lastFrame;
  private long droppedChunks;
  private long bytes;
  private boolean fullySent;

  AnswerBuffer(AttemptId attempt, int windowChunks, long maxBytes) {
    this.attempt = attempt;
    this.windowChunks = windowChunks;
    this.maxBytes = maxBytes;
  }

  void addHead(int status, List<Header> headers) {
    head = new Message.AnswerHead(attempt, status, headers);
    sendAvailable();
  }

  /** Adds a chunk. Returns false if the buffered chunks exceed the size limit. */
  boolean addChunk(byte[] data) {
    chunks.add(new Message.AnswerChunk(attempt, chunkCount() + 1, data));
    bytes += data.length + CHUNK_OVERHEAD_BYTES;
    if (bytes > maxBytes) {
      dropAcknowledged();
    }
    sendAvailable();
    return bytes <= maxBytes;
  }

  /** Sets the last frame, which is an {@link Message.AnswerEnd} or a {@link Message.Refused}. */
  void finish(Message frame) {
    lastFrame = frame;
    sendAvailable();
  }

  boolean isFinished() {
    return lastFrame != null;
  }

  boolean hasHead() {
    return head != null;
  }

  long chunkCount() {
    return droppedChunks + chunks.size();
  }

  long bytes() {
    return bytes;
  }

  boolean canServeFrom(long sequence) {
    return sequence <= chunkCount() + 1 && (droppedChunks == 0 || sequence > droppedChunks);
  }

  void subscribe(FrameConnection connection, long fromSequence) {
    readers.put(connection, new Reader(fromSequence));
    sendAvailable();
  }

  void unsubscribe(FrameConnection connection) {
    readers.remove(connection);
  }

  boolean isOnlyReader(FrameConnection connection) {
    return readers.containsKey(connection) && readers.size() == 1;
  }

  /** Removes the window limit of a reader that will send no more acknowledgements. */
  void removeWindowLimit(FrameConnection connection) {
    readers.get(connection).acknowledged = Long.MAX_VALUE;
  }

  /** Returns whether the whole answer was sent to any reader. */
  boolean wasFullySent() {
    return fullySent;
  }

  boolean hasReaders() {
    return !readers.isEmpty();
  }

  /** Returns whether the whole answer was sent to every current reader; true if there are none. */
  boolean isDelivered() {
    return readers.values().stream().allMatch(reader -> reader.finished);
  }

  void acknowledge(FrameConnection connection, long nextSequence) {
    Reader reader = readers.get(connection);
    if (reader != null && nextSequence <= reader.next) {
      reader.acknowledged = Math.max(reader.acknowledged, nextSequence);
      sendAvailable();
    }
  }

  /** Sends each reader the frames for which its window and its connection have room. */
  void sendAvailable() {
    readers.forEach(this::sendAvailable);
  }

  private void sendAvailable(FrameConnection connection, Reader reader) {
    if (reader.next == 0 && head != null) {
      connection.send(head);
      reader.next = 1;
    }
    while (reader.next > 0 && isChunkDue(connection, reader)) {
      connection.send(chunks.get((int) (reader.next - 1 - droppedChunks)));
      reader.next++;
    }
    boolean atEnd = reader.next > chunkCount() || (reader.next == 0 && chunkCount() == 0);
    if (lastFrame != null && !reader.finished && atEnd) {
      reader.finished = true;
      fullySent = true;
      connection.send(lastFrame);
    }
  }

  private boolean isChunkDue(FrameConnection connection, Reader reader) {
    return reader.next <= chunkCount()
        && reader.next - reader.acknowledged < windowChunks
        && connection.isWritable();
  }

  private void dropAcknowledged() {
    long acknowledged =
        readers.values().stream().mapToLong(r -> r.acknowledged - 1).min().orElse(0);
    int count = (int) Math.max(0, acknowledged - droppedChunks);
    List<Message.AnswerChunk> done = chunks.subList(0, count);
    bytes -= done.stream().mapToLong(c -> c.data().length + CHUNK_OVERHEAD_BYTES).sum();
    done.clear();
    droppedChunks += count;
  }

  /** The position of one reader. Sequence number 0 stands for the head. */
  private static final class Reader {
    private long next;
    private long acknowledged;
    private boolean finished;

    Reader(long fromSequence) {
      this.next = fromSequence;
      this.acknowledged = Math.max(1, fromSequence);
    }
  }
}
