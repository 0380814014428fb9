package io.snipeloom.coordination;

import com.google.common.flogger.FluentLogger;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;

/**
 * The answer of an attempt that a link is receiving, with its listener and position. Not
 * thread-safe.
 */
final class OpenAnswer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AttemptId attempt;
  private final AnswerListener listener;
  private final AnswerCursor cursor;
  private boolean cancelled;
  private int gaps;

  OpenAnswer(AttemptId attempt, AnswerListener listener, long nextSequence) {
    this.attempt = attempt;
    this.listener = listener;
    this.cursor = new AnswerCursor(nextSequence);
  }

  AnswerCursor cursor() {
    return cursor;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void cancel() {
    cancelled = true;
  }

  int incrementGaps() {
    return ++gaps;
  }

  Message.Attach attach() {
    return new Message.Attach(attempt, cursor.next());
  }

  void head(Message.AnswerHead head) {
    callListener(() -> listener.onHead(head));
  }

  void chunk(Message.AnswerChunk chunk) {
    callListener(() -> listener.onChunk(chunk));
  }

  void end(Message.AnswerEnd end) {
    callListener(() -> listener.onEnd(end));
  }

  void refused(Message.Refused refusal) {
    if (cursor.next() > 0 && refusal.runState() == RunState.NOT_RUN) {
      lost(refusal.message());
    } else {
      callListener(() -> listener.onRefused(refusal));
    }
  }

  void lost(String reason) {
    lost(
        SnipeloomException.of(ErrorCode.CONNECTION_LOST, reason)
            .withOrigin("answer", attempt.holder().value())
            .withRunState(RunState.UNKNOWN));
  }

  void lost(SnipeloomException error) {
    callListener(() -> listener.onLost(error));
  }

  private void callListener(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "%s",
          LogLine.of("link.listener.failed")
              .with("holder", attempt.holder())
              .with("sequence", attempt.sequence()));
    }
  }
}
