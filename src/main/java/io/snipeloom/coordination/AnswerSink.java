package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;

/**
 * Receives the answer to one request: a head, chunks and an end, or an error at any point.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onError} is called, last.
 */
public interface AnswerSink {

  /**
   * Receives the head.
   *
   * @param head the head
   */
  void onHead(Message.AnswerHead head);

  /**
   * Receives the next chunk.
   *
   * @param data the data of the chunk, not to be modified
   * @param consumed to be run when the chunk was passed on, which makes room for further chunks
   */
  void onChunk(byte[] data, Runnable consumed);

  /**
   * Receives the end of a whole answer.
   *
   * @param end the end
   */
  void onEnd(Message.AnswerEnd end);

  /**
   * Learns that the request has failed for good.
   *
   * @param error the error, with its run state and the time to come back
   */
  void onError(SnipeloomException error);
}
