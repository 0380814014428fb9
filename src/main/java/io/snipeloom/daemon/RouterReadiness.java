package io.snipeloom.daemon;

import io.snipeloom.coordination.LogReplica;
import io.snipeloom.transport.Readiness;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Tells whether a router takes requests. Thread-safe. */
final class RouterReadiness implements Readiness {
  private final LogReplica replica;
  private final BooleanSupplier leaving;

  RouterReadiness(LogReplica replica, BooleanSupplier leaving) {
    this.replica = replica;
    this.leaving = leaving;
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
    if (leaving.getAsBoolean()) {
      reasons.add("the router is leaving");
    }
    return reasons;
  }
}
