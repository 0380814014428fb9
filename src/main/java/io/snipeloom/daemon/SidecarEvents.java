package io.snipeloom.daemon;

import io.snipeloom.coordination.DecisionListener;
import io.snipeloom.coordination.LogReplica;
import io.snipeloom.coordination.Sidecar;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;

/**
 * Forwards the decision events that concern one sidecar to it.
 *
 * <p>Events from before this incarnation joined concern earlier incarnations of the instance and
 * are ignored. The orders to the instance are forwarded again when this incarnation joins. Called
 * from the thread of the replica.
 */
final class SidecarEvents implements DecisionListener {
  private final Incarnation self;
  private final InstanceId instance;
  private final Sidecar sidecar;
  private final LogReplica replica;
  private boolean joined;

  SidecarEvents(Incarnation self, InstanceId instance, Sidecar sidecar, LogReplica replica) {
    this.self = self;
    this.instance = instance;
    this.sidecar = sidecar;
    this.replica = replica;
  }

  @Override
  public void onEvent(DecisionEvent event) {
    if (event instanceof DecisionEvent.SidecarJoined join && join.sidecar().equals(self)) {
      joined = true;
      replica
          .read(state -> state.orders(instance))
          .forEach(issued -> sidecar.onOrder(issued.fencingNumber(), issued.order()));
    } else if (joined) {
      forward(event);
    }
  }

  private void forward(DecisionEvent event) {
    if (event instanceof DecisionEvent.HolderClosed closed) {
      sidecar.onHolderClosed(closed.holder());
    } else if (event instanceof DecisionEvent.SuspectCleared cleared) {
      sidecar.onCleared(cleared.fingerprint());
    } else if (event instanceof DecisionEvent.ConvictionEnded ended) {
      sidecar.onCleared(ended.fingerprint());
    } else if (event instanceof DecisionEvent.SidecarLost lost && lost.sidecar().equals(self)) {
      sidecar.onReplaced();
    } else if (event instanceof DecisionEvent.OrderIssued order
        && order.target().equals(instance)) {
      sidecar.onOrder(order.fencingNumber(), order.order());
    }
  }
}
