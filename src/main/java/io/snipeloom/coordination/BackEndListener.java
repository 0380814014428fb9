package io.snipeloom.coordination;

import io.snipeloom.protocol.Header;
import java.util.List;

/** Receives the answer to one call, in order; {@link #onEnd} or {@link #onFailure} is the last. */
public interface BackEndListener {

  /**
   * Receives the head.
   *
   * @param status the HTTP status
   * @param headers the headers to pass on
   */
  void onHead(int status, List<Header> headers);

  /**
   * Receives data: of an event stream the data of one event, else a run of body bytes.
   *
   * @param data the data
   */
  void onData(byte[] data);

  /** Learns that the answer is whole. */
  void onEnd();

  /**
   * Learns that the call failed.
   *
   * @param failure how it failed
   * @param message what went wrong
   */
  void onFailure(BackEndFailure failure, String message);
}
