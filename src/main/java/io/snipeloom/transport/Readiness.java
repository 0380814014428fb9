package io.snipeloom.transport;

import java.util.List;

/**
 * Tells whether a process is ready to serve requests. Implementations are thread-safe and do not
 * block.
 */
public interface Readiness {

  /** Returns whether the process is ready to serve requests. */
  boolean isReady();

  /**
   * Returns why the process is not ready.
   *
   * @return the reasons; empty if the process is ready
   */
  List<String> reasons();
}
