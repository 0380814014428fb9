package io.snipeloom.daemon;

import io.snipeloom.transport.Readiness;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Tells whether a sidecar takes work. Thread-safe. */
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
        : List.of("the log is not caught up with, the sidecar not announced, or the back end down");
  }
}
