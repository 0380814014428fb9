package io.snipeloom.state;

import java.util.List;

/**
 * What followed from one batch.
 *
 * @param offset the offset of the batch
 * @param events the events in order
 */
public record ApplyResult(long offset, List<DecisionEvent> events) {

  /** Copies the events. */
  public ApplyResult {
    events = List.copyOf(events);
  }
}
