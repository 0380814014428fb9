package io.snipeloom.buffering;

/** What is done with bytes of a response that arrived, and with those that follow. */
public enum BufferDecision {
  /** The bytes are held, and reading goes on. */
  HOLD,
  /** The bytes are held; no more are read until {@link ResponseReader#onRoom} is called. */
  STOP_READING,
  /** The bytes cannot be held; the response is cut off. */
  CUT_OFF
}
