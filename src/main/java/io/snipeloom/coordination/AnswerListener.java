package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;

/**
 * Receives the frames of one attempt in order and exactly once, even if the connection is replaced
 * meanwhile.
 *
 * <p>Exactly one of {@link #onEnd}, {@link #onRefused} and {@link #onLost} is called, as the last
 * call. Calls are never concurrent.
 */
public interface AnswerListener {

  /** Receives the head. */
  void onHead(Message.AnswerHead head);

  /** Receives the next chunk. */
  void onChunk(Message.AnswerChunk chunk);

  /** Receives the end. */
  void onEnd(Message.AnswerEnd end);

  /** Called when the sidecar refuses the attempt. */
  void onRefused(Message.Refused refusal);

  /**
   * Called when the rest of the answer cannot be received, for example because a lost connection
   * was not re-established in time.
   *
   * @param error the error, which states whether the request may have run
   */
  void onLost(SnipeloomException error);
}
