package io.snipeloom.coordination;

import io.snipeloom.state.DecisionEvent;

/** Learns of decisions in the order of the log, on the thread of the replica. */
@FunctionalInterface
public interface DecisionListener {

  /**
   * Learns of a decision. Must not block.
   *
   * @param event the decision
   */
  void onEvent(DecisionEvent event);
}
