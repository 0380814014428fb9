package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.CallRecord;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.RunState;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.SpendPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A router that reserves tokens, dispatches attempts and settles them. Attempts at lost sidecars
 * are settled with an estimate.
 */
final class ScheduleRouter extends ScheduleNode {
  private final BudgetHolder holder;
  private final Map<AttemptId, ScheduleAttempt> awaitingIntent = new HashMap<>();
  private final Map<AttemptId, ScheduleAttempt> dispatched = new LinkedHashMap<>();
  private final List<ScheduleAttempt> outbox = new ArrayList<>();
  private final Map<RequestKey, CallRecord> queries = new LinkedHashMap<>();
  private final Set<Incarnation> lostSidecars = new LinkedHashSet<>();
  private long attempts;
  private boolean closed;
  private boolean restoredFromSnapshot;
  private boolean stopping;
  private boolean closeAppended;

  ScheduleRouter(ScheduleSimulation simulation, Incarnation id) {
    super(simulation, id);
    this.holder =
        BudgetHolder.create(
            id, budget -> SpendPolicy.TIGHT, this, () -> simulation.nowNanos, new MetricRegistry());
  }

  boolean isClosed() {
    return closed;
  }

  void stop() {
    stopping = true;
    holder.stop();
  }

  @Override
  void onRestored() {
    restoredFromSnapshot = true;
    lostSidecars.clear();
    discardAllButReports();
    if (!closed) {
      closed = true;
      outbox.clear();
      holder.fence();
      append(List.of(new DecisionRecord.HolderClosed(id)));
    }
  }

  /** Starts an attempt for a request, unless there are no tokens or no live sidecars. */
  void request(RequestKey key, BudgetId budget, long tokens, boolean repeatable) {
    if (paused || !isReady() || stopping || closed) {
      return;
    }
    List<Incarnation> sidecars = state().liveSidecars();
    if (sidecars.isEmpty()) {
      return;
    }
    attempts++;
    AttemptId attempt = AttemptId.of(id, attempts);
    Incarnation sidecar = sidecars.get(simulation.random.nextInt(sidecars.size()));
    try {
      holder.reserve(budget, attempt, tokens);
    } catch (SnipeloomException e) {
      return;
    }
    ScheduleAttempt scheduled =
        new ScheduleAttempt(attempt, key, budget, sidecar, tokens, repeatable);
    if (repeatable) {
      outbox.add(scheduled);
    } else {
      awaitingIntent.put(attempt, scheduled);
      append(List.of(new DecisionRecord.IntentRecorded(key, attempt, sidecar, "digest")));
    }
  }

  @Override
  void runTasks() {
    holder.step();
    if (!disconnectedFromPeers) {
      sendOutbox();
      List.copyOf(dispatched.values()).forEach(this::pollStatus);
      List.copyOf(queries.values()).forEach(this::queryOutcome);
    }
    reportLostSidecars();
    if (stopping && !closeAppended && holder.isDrained()) {
      closeAppended = true;
      append(List.of(new DecisionRecord.HolderClosed(id)));
    }
  }

  private void sendOutbox() {
    for (ScheduleAttempt attempt : outbox) {
      dispatched.put(attempt.id(), attempt);
      ScheduleSidecar sidecar = simulation.reachableSidecar(attempt.sidecar());
      if (sidecar != null && simulation.random.nextInt(10) > 0) {
        sidecar.receive(attempt);
      }
    }
    outbox.clear();
  }

  private void pollStatus(ScheduleAttempt attempt) {
    ScheduleSidecar sidecar = simulation.reachableSidecar(attempt.sidecar());
    if (sidecar == null) {
      if (simulation.random.nextInt(20) == 0) {
        settleEstimate(attempt);
      }
      return;
    }
    ScheduleSidecar.AttemptStatus status = sidecar.query(attempt.id());
    if (status.state() == RunState.UNKNOWN || simulation.random.nextInt(4) == 0) {
      return;
    }
    dispatched.remove(attempt.id());
    holder.settle(attempt.id(), status.consumed());
    List<DecisionRecord> records = new ArrayList<>();
    if (status.state() == RunState.RAN) {
      records.add(attempt.settlement(status.consumed(), true, true));
    }
    if (!attempt.repeatable()) {
      records.add(new DecisionRecord.OutcomeRecorded(attempt.key(), attempt.id(), status.state()));
    }
    if (!records.isEmpty()) {
      append(records);
    }
  }

  private void settleEstimate(ScheduleAttempt attempt) {
    dispatched.remove(attempt.id());
    holder.settle(attempt.id(), attempt.tokens());
    List<DecisionRecord> records = new ArrayList<>();
    records.add(attempt.settlement(attempt.tokens(), false, false));
    if (!attempt.repeatable()) {
      records.add(
          new DecisionRecord.OutcomeRecorded(attempt.key(), attempt.id(), RunState.UNKNOWN));
    }
    append(records);
  }

  private void queryOutcome(CallRecord call) {
    ScheduleSidecar sidecar = simulation.reachableSidecar(call.sidecar());
    if (sidecar == null) {
      return;
    }
    queries.remove(call.key());
    RunState outcome = sidecar.query(call.attempt()).state();
    if (outcome != RunState.UNKNOWN) {
      append(List.of(new DecisionRecord.OutcomeRecorded(call.key(), call.attempt(), outcome)));
    }
  }

  private void reportLostSidecars() {
    for (Incarnation sidecar : List.copyOf(lostSidecars)) {
      lostSidecars.remove(sidecar);
      outbox.stream()
          .filter(attempt -> attempt.sidecar().equals(sidecar))
          .toList()
          .forEach(this::releaseUnsent);
      List.copyOf(dispatched.values()).stream()
          .filter(attempt -> attempt.sidecar().equals(sidecar))
          .forEach(this::settleEstimate);
      append(List.of(new DecisionRecord.HolderDrained(id, sidecar)));
    }
  }

  private void releaseUnsent(ScheduleAttempt attempt) {
    outbox.remove(attempt);
    holder.settle(attempt.id(), 0);
  }

  @Override
  void onEvent(DecisionEvent event) {
    holder.onEvent(event);
    if (event instanceof DecisionEvent.IntentAccepted accepted) {
      ScheduleAttempt attempt = awaitingIntent.remove(accepted.attempt());
      if (attempt != null && !closed) {
        outbox.add(attempt);
      }
    } else if (event instanceof DecisionEvent.IntentRefused refused
        && awaitingIntent.remove(refused.attempt()) != null) {
      holder.settle(refused.attempt(), 0);
      if (refused.existing() != null && !refused.existing().hasOutcome()) {
        queries.put(refused.key(), refused.existing());
      }
    } else if (event instanceof DecisionEvent.SidecarLost lost && !restoredFromSnapshot) {
      lostSidecars.add(lost.sidecar());
    } else if (event instanceof DecisionEvent.HolderClosed own && own.holder().equals(id)) {
      closed = true;
      outbox.clear();
    }
  }
}
