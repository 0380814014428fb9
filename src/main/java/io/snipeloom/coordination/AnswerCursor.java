package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;

/**
 * The place of a receiver within one answer; decides for each frame whether it is the next one.
 *
 * <p>Pure and not thread-safe.
 */
final class AnswerCursor {

  /** What to do with a frame. */
  enum Verdict {
    /** The frame is the next one. */
    DELIVER,
    /** The frame was delivered before. */
    DROP,
    /** A frame before this one is missing. */
    GAP
  }

  private long next;
  private boolean attaching;

  AnswerCursor(long next) {
    this.next = next;
  }

  /** Returns the next sequence number; 0 stands for the head. */
  long next() {
    return next;
  }

  /** Starts again at a sequence number; frames sent for the former place are dropped. */
  void restartAt(long sequence) {
    next = sequence;
    attaching = true;
  }

  Verdict accept(Message.AnswerHead head) {
    return acceptSequence(0);
  }

  Verdict accept(Message.AnswerChunk chunk) {
    return acceptSequence(chunk.sequence());
  }

  Verdict accept(Message.AnswerEnd end) {
    if (attaching && end.count() != received()) {
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
      return attaching ? Verdict.DROP : Verdict.GAP;
    }
    attaching = false;
    next++;
    return Verdict.DELIVER;
  }
}
