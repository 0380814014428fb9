package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.DecisionRecord.AttemptSettled;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RequestKey;

/** An attempt that a router dispatches to a sidecar. */
record ScheduleAttempt(
    AttemptId id,
    RequestKey key,
    BudgetId budget,
    Incarnation sidecar,
    long tokens,
    boolean repeatable) {
  private static final RequestClassId CLASS = RequestClassId.of("class");

  AttemptSettled settlement(long consumed, boolean exact, boolean billed) {
    long issuedAt = key.issuedAtMillis().orElseThrow();
    return new AttemptSettled(id, key, issuedAt, budget, CLASS, consumed, exact, billed);
  }
}
