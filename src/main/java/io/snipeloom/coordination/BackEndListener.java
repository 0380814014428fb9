package io.snipeloom.coordination;

import io.snipeloom.protocol.Header;
import java.util.List;

/**
 * Receives the answer to one call in order. The last call is {@link #onEnd} or {@link #onFailure}.
 */
public interface BackEndListener {

  /**
   * Receives the head.
   *
   * @param status the HTTP status
   * @param headers the headers to pass on
   */
  void onHead(int status, List<Header> headers);

  /**
   * Receives data: the data of one event if the answer is an event stream, otherwise a part of the
   * body.
   */
  void onData(byte[] data);

  /** Called when the answer is complete. */
  void onEnd();

  /**
   * Called when the call has failed.
   *
   * @param failure how it failed
   * @param message a description of the failure
   */
  void onFailure(BackEndFailure failure, String message);
}
