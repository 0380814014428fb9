package io.snipeloom.coordination;

import io.snipeloom.state.DecisionEvent;

/** Receives decisions in log order, on the thread of the replica. */
@FunctionalInterface
public interface DecisionListener {

  /** Receives a decision. Must not block. */
  void onEvent(DecisionEvent event);
}
