package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;

/**
 * Tracks the position of a receiver within one answer and decides for each frame whether it is the
 * next one.
 *
 * <p>Performs no I/O. Not thread-safe.
 */
final class AnswerCursor {

  /** What to do with a frame. */
  enum Verdict {
    /** The frame is the next one. */
    DELIVER,
    /** The frame was delivered before, or was sent before the latest re-attachment. */
    DROP,
    /** At least one frame before this one is missing. */
    GAP
  }

  private long next;
  private boolean reattaching;

  AnswerCursor(long next) {
    this.next = next;
  }

  /** Returns the sequence number that is expected next; 0 stands for the head. */
  long next() {
    return next;
  }

  /**
   * Moves to a sequence number after a re-attachment. Until the frame with this number arrives,
   * later frames are dropped and not reported as a gap, since they were sent before the
   * re-attachment.
   */
  void restartAt(long sequence) {
    next = sequence;
    reattaching = true;
  }

  Verdict accept(Message.AnswerHead head) {
    return acceptSequence(0);
  }

  Verdict accept(Message.AnswerChunk chunk) {
    return acceptSequence(chunk.sequence());
  }

  Verdict accept(Message.AnswerEnd end) {
    if (reattaching && end.count() != received()) {
      return Verdict.DROP;
    }
    boolean headMissing = end.complete() && next == 0;
    return headMissing || end.count() != received() ? Verdict.GAP : Verdict.DELIVER;
  }

  private long received() {
    return Math.max(0, next - 1);
  }

  private Verdict acceptSequence(long sequence) {
    if (sequence < next) {
      return Verdict.DROP;
    }
    if (sequence > next) {
      return reattaching ? Verdict.DROP : Verdict.GAP;
    }
    reattaching = false;
    next++;
    return Verdict.DELIVER;
  }
}
