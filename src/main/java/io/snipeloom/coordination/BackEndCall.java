package io.snipeloom.coordination;

/** A call that is running at a back end. Implementations are thread-safe. */
public interface BackEndCall {

  /** Cancels the call. Its listener is not called any more. */
  void cancel();
}
