package io.snipeloom.daemon;

import io.snipeloom.coordination.DecisionLookup;
import io.snipeloom.coordination.LogReplica;
import io.snipeloom.state.Incarnation;

/** Looks up decisions in the log replica of this process. Thread-safe. */
final class ReplicaDecisions implements DecisionLookup {
  private final LogReplica replica;

  ReplicaDecisions(LogReplica replica) {
    this.replica = replica;
  }

  @Override
  public boolean isClosed(Incarnation holder) {
    return replica.read(state -> state.isClosed(holder));
  }

  @Override
  public boolean isConvicted(String fingerprint) {
    return replica.read(state -> state.isConvicted(fingerprint));
  }

  @Override
  public boolean isSuspect(String fingerprint) {
    return replica.read(state -> state.isSuspect(fingerprint));
  }
}
