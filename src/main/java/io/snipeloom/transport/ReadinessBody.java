package io.snipeloom.transport;

import java.util.List;

/**
 * The answer about readiness.
 *
 * @param ready whether the process can serve
 * @param reasons what keeps it from serving
 */
public record ReadinessBody(boolean ready, List<String> reasons) {

  /** Copies the reasons. */
  public ReadinessBody {
    reasons = List.copyOf(reasons);
  }
}
