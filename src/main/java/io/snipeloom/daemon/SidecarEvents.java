package io.snipeloom.daemon;

import io.snipeloom.coordination.DecisionListener;
import io.snipeloom.coordination.LogReplica;
import io.snipeloom.coordination.Sidecar;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;

/**
 * Passes the decisions that concern one sidecar to it.
 *
 * <p>What the log decided before the sidecar joined concerns its predecessors; only the orders to
 * its slot are still given. Called from the thread of the replica.
 */
final class SidecarEvents implements DecisionListener {
  private final Incarnation self;
  private final InstanceId slot;
  private final Sidecar sidecar;
  private final LogReplica replica;
  private boolean joined;

  SidecarEvents(Incarnation self, InstanceId slot, Sidecar sidecar, LogReplica replica) {
    this.self = self;
    this.slot = slot;
    this.sidecar = sidecar;
    this.replica = replica;
  }

  @Override
  public void onEvent(DecisionEvent event) {
    if (event instanceof DecisionEvent.SidecarJoined join && join.sidecar().equals(self)) {
      joined = true;
      replica
          .read(state -> state.orders(slot))
          .forEach(issued -> sidecar.onOrder(issued.fencingNumber(), issued.order()));
    } else if (joined) {
      pass(event);
    }
  }

  private void pass(DecisionEvent event) {
    if (event instanceof DecisionEvent.HolderClosed closed) {
      sidecar.onHolderClosed(closed.holder());
    } else if (event instanceof DecisionEvent.SuspectCleared cleared) {
      sidecar.onCleared(cleared.fingerprint());
    } else if (event instanceof DecisionEvent.ConvictionEnded ended) {
      sidecar.onCleared(ended.fingerprint());
    } else if (event instanceof DecisionEvent.SidecarLost lost && lost.sidecar().equals(self)) {
      sidecar.onReplaced();
    } else if (event instanceof DecisionEvent.OrderIssued order && order.target().equals(slot)) {
      sidecar.onOrder(order.fencingNumber(), order.order());
    }
  }
}
