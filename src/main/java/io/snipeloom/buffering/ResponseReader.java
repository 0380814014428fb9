package io.snipeloom.buffering;

/** Reads a response from a replica on behalf of a caller. */
public interface ResponseReader {

  /** Called when a response may no longer be read, although none of its bytes have just arrived. */
  void onStop();

  /** Called when a response whose reading was stopped may be read again. */
  void onRoom();

  /** Called when the response must be cut off, because others need the room. */
  void onCutOff();
}
