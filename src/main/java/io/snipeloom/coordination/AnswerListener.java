package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;

/**
 * Receives the frames of one attempt, in order and each once, even when the connection was replaced
 * in between.
 *
 * <p>Exactly one of {@link #onEnd}, {@link #onRefused} and {@link #onLost} ends the sequence. Calls
 * come from one thread at a time.
 */
public interface AnswerListener {

  /**
   * Receives the head.
   *
   * @param head the head
   */
  void onHead(Message.AnswerHead head);

  /**
   * Receives the next chunk.
   *
   * @param chunk the chunk
   */
  void onChunk(Message.AnswerChunk chunk);

  /**
   * Receives the end.
   *
   * @param end the end
   */
  void onEnd(Message.AnswerEnd end);

  /**
   * Learns that the sidecar refused the attempt.
   *
   * @param refusal the refusal
   */
  void onRefused(Message.Refused refusal);

  /**
   * Learns that the sidecar was lost and re-attaching failed.
   *
   * @param error the error, with its run state
   */
  void onLost(SnipeloomException error);
}
