package io.snipeloom.transport;

import java.util.List;

/**
 * The body of a readiness check response.
 *
 * @param ready whether the process is ready to serve requests
 * @param reasons why the process is not ready; empty if it is
 */
public record ReadinessBody(boolean ready, List<String> reasons) {

  /** Copies the reasons. */
  public ReadinessBody {
    reasons = List.copyOf(reasons);
  }
}
