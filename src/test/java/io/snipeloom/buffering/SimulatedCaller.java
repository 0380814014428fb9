package io.snipeloom.buffering;

/** A caller whose response is read and written as a test says. */
final class SimulatedCaller implements ResponseReader {
  final ResponseBuffer buffer;
  boolean reading = true;
  boolean complete;
  boolean closed;

  SimulatedCaller(ResponseBuffers buffers) {
    buffer = buffers.open(this);
  }

  /** Receives bytes as an exchange does. */
  BufferDecision receive(int bytes) {
    BufferDecision decision = buffer.onReceived(bytes);
    if (decision == BufferDecision.STOP_READING) {
      reading = false;
    } else if (decision == BufferDecision.CUT_OFF) {
      leave();
    }
    return decision;
  }

  /** Begins another attempt, which is read. */
  void retry() {
    buffer.discard();
    reading = !closed;
  }

  void complete() {
    passOn();
    buffer.onComplete();
    complete = true;
    reading = false;
  }

  void passOn() {
    if (buffer.heldBytes() > buffer.queuedBytes()) {
      buffer.onQueued((int) (buffer.heldBytes() - buffer.queuedBytes()));
    }
  }

  void read(int bytes) {
    buffer.onWritten((int) Math.min(bytes, buffer.queuedBytes()));
  }

  void leave() {
    if (!closed) {
      closed = true;
      reading = false;
      read(Integer.MAX_VALUE);
      buffer.close();
    }
  }

  @Override
  public void onStop() {
    reading = false;
  }

  @Override
  public void onRoom() {
    reading = true;
  }

  @Override
  public void onCutOff() {
    leave();
  }
}
