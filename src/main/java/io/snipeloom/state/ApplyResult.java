package io.snipeloom.state;

import java.util.List;

/**
 * The events caused by one batch.
 *
 * @param offset the log offset of the batch
 * @param events the events in the order in which they occurred
 */
public record ApplyResult(long offset, List<DecisionEvent> events) {

  /** Copies the events. */
  public ApplyResult {
    events = List.copyOf(events);
  }
}
