package io.snipeloom.coordination;

/** A call that runs at a back end. Implementations are thread-safe. */
public interface BackEndCall {

  /** Stops the call; its listener receives nothing more. */
  void cancel();
}
