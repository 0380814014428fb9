package io.snipeloom.buffering;

import io.snipeloom.state.CustomerId;
import java.util.Optional;

/**
 * The bytes that are held for one caller: first while they are not complete enough to be passed on,
 * then until they are written to its connection. Each byte that is received is released once.
 *
 * <p>Confined to the event loop thread.
 */
public final class ResponseBuffer {
  private final ResponseBuffers buffers;
  private final ResponseReader reader;
  private Optional<CustomerId> customer = Optional.empty();
  private long assemblingBytes;
  private long queuedBytes;
  private Optional<StopReason> stopped = Optional.empty();
  private long stopNumber;
  private long lastProgress;
  private long beginNumber;
  private boolean complete;
  private boolean cutOff;

  ResponseBuffer(ResponseBuffers buffers, ResponseReader reader) {
    this.buffers = buffers;
    this.reader = reader;
  }

  /** Begins the next response on the connection, which is for the given customer. */
  public void begin(Optional<CustomerId> next) {
    long held = heldBytes();
    buffers.add(this, -held);
    customer = next;
    buffers.add(this, held);
    beginNumber = buffers.nextBegin();
    complete = false;
    cutOff = false;
  }

  /** Counts bytes from a replica, unless they are to be cut off. */
  public BufferDecision onReceived(int bytes) {
    if (!buffers.makeRoom(this, bytes)) {
      return BufferDecision.CUT_OFF;
    }
    assemblingBytes += bytes;
    buffers.add(this, bytes);
    return buffers.decide(this);
  }

  /** Records that received bytes are passed on to the connection, which writes them. */
  public void onQueued(int bytes) {
    if (bytes > assemblingBytes) {
      throw new IllegalStateException("bytes were not received: " + bytes);
    }
    if (queuedBytes == 0) {
      lastProgress = buffers.nextProgress();
    }
    assemblingBytes -= bytes;
    queuedBytes += bytes;
    buffers.onQueued(this);
  }

  /** Records that the whole response was passed on. */
  public void onComplete() {
    complete = true;
    resume();
    buffers.onComplete(this);
  }

  /** Releases bytes that were written to the connection, or can never be. */
  public void onWritten(int bytes) {
    if (bytes > queuedBytes) {
      throw new IllegalStateException("bytes were not passed on: " + bytes);
    }
    queuedBytes -= bytes;
    lastProgress = buffers.nextProgress();
    buffers.add(this, -bytes);
    buffers.resumeStopped();
  }

  /** Releases the bytes that were not passed on; the attempt that they belong to has ended. */
  public void discard() {
    resume();
    long bytes = assemblingBytes;
    assemblingBytes = 0;
    buffers.add(this, -bytes);
    buffers.resumeStopped();
  }

  /** Ends the buffer. Bytes that were passed on are still to be released by the connection. */
  public void close() {
    discard();
    buffers.remove(this);
  }

  /** Returns the bytes held. */
  public long heldBytes() {
    return assemblingBytes + queuedBytes;
  }

  /** Returns the bytes passed on to the connection and not written yet. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** Returns why the response is not read, empty if it is. */
  public Optional<StopReason> stopReason() {
    return stopped;
  }

  /** Returns the customer, empty if there is none. */
  public Optional<CustomerId> customer() {
    return customer;
  }

  boolean isSlow() {
    return queuedBytes > buffers.bounds().smallBytes();
  }

  boolean isSmall() {
    return heldBytes() <= buffers.bounds().smallBytes();
  }

  boolean isComplete() {
    return complete;
  }

  boolean isCutOff() {
    return cutOff;
  }

  /** Returns whether nothing can be released until more is read. */
  boolean isStuck() {
    return stopped.isPresent() && queuedBytes == 0;
  }

  long assemblingBytes() {
    return assemblingBytes;
  }

  long stopNumber() {
    return stopNumber;
  }

  long lastProgress() {
    return lastProgress;
  }

  long beginNumber() {
    return beginNumber;
  }

  void stop(StopReason reason, long number) {
    stopped = Optional.of(reason);
    stopNumber = number;
  }

  /** Forgets that reading was stopped, without telling the reader. */
  void resume() {
    stopped = Optional.empty();
    buffers.onResumed(this);
  }

  void tellStop() {
    reader.onStop();
  }

  void tellRoom() {
    reader.onRoom();
  }

  /** Lets the reader cut off the response, which releases the bytes. */
  void cutOff() {
    cutOff = true;
    reader.onCutOff();
  }
}
