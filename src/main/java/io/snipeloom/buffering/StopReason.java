package io.snipeloom.buffering;

/** Why a response is not read any further for now. */
public enum StopReason {
  /** Its caller is too far behind. */
  CALLER,
  /** The responses of its customer hold too many bytes. */
  CUSTOMER,
  /** All responses together hold too many bytes. */
  PROCESS
}
