package io.snipeloom.transport;

import java.util.List;

/** Whether a process can serve. Implementations are thread-safe and do not block. */
public interface Readiness {

  /**
   * Returns whether the process can serve.
   *
   * @return whether it can serve
   */
  boolean isReady();

  /**
   * Returns what keeps the process from serving.
   *
   * @return the reasons; empty if it is ready
   */
  List<String> reasons();
}
