package io.snipeloom.daemon;

import io.snipeloom.transport.Readiness;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Reports whether a sidecar accepts work. Thread-safe. */
final class SidecarReadiness implements Readiness {
  private final BooleanSupplier ready;

  SidecarReadiness(BooleanSupplier ready) {
    this.ready = ready;
  }

  @Override
  public boolean isReady() {
    return ready.getAsBoolean();
  }

  @Override
  public List<String> reasons() {
    return isReady()
        ? List.of()
        : List.of(
            "the sidecar has not caught up with the log or not joined, or the back end is down");
  }
}
