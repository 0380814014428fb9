package io.snipeloom.coordination;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;

/**
 * Receives the answer to one request: the head, the chunks and the end, or an error at any point.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onError} is called, as the last call.
 */
public interface AnswerSink {

  /** Receives the head. */
  void onHead(Message.AnswerHead head);

  /**
   * Receives the next chunk.
   *
   * @param data the data of the chunk, which must not be modified
   * @param consumed to be run once the chunk has been passed on, so that the sidecar sends further
   *     chunks
   */
  void onChunk(byte[] data, Runnable consumed);

  /** Receives the end of a complete answer. */
  void onEnd(Message.AnswerEnd end);

  /**
   * Called when the request has failed and will not be retried.
   *
   * @param error the error, with its run state and retry delay
   */
  void onError(SnipeloomException error);
}
