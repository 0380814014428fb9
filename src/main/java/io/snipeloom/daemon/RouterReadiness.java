package io.snipeloom.daemon;

import io.snipeloom.coordination.LogReplica;
import io.snipeloom.transport.Readiness;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Reports whether a router accepts requests. Thread-safe. */
final class RouterReadiness implements Readiness {
  private final LogReplica replica;
  private final BooleanSupplier draining;

  RouterReadiness(LogReplica replica, BooleanSupplier draining) {
    this.replica = replica;
    this.draining = draining;
  }

  @Override
  public boolean isReady() {
    return reasons().isEmpty();
  }

  @Override
  public List<String> reasons() {
    List<String> reasons = new ArrayList<>();
    if (!replica.isCaughtUp()) {
      reasons.add("configuration and budgets have not caught up with the log");
    }
    if (draining.getAsBoolean()) {
      reasons.add("the router is leaving");
    }
    return reasons;
  }
}
