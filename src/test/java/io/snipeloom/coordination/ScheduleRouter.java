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

/** A router: reserves, dispatches, settles, and settles estimates for lost sidecars. */
final class ScheduleRouter extends ScheduleNode {
  private final BudgetHolder holder;
  private final Map<AttemptId, ScheduleAttempt> intended = new HashMap<>();
  private final Map<AttemptId, ScheduleAttempt> dispatched = new LinkedHashMap<>();
  private final List<ScheduleAttempt> outbox = new ArrayList<>();
  private final Map<RequestKey, CallRecord> queries = new LinkedHashMap<>();
  private final Set<Incarnation> lostSidecars = new LinkedHashSet<>();
  private long attempts;
  private boolean closed;
  private boolean reloadedOnce;
  private boolean stopping;
  private boolean closeWritten;

  ScheduleRouter(ScheduleWorld world, Incarnation id) {
    super(world, id);
    this.holder =
        BudgetHolder.create(
            id, budget -> SpendPolicy.TIGHT, this, () -> world.nowNanos, new MetricRegistry());
  }

  boolean isClosed() {
    return closed;
  }

  void stop() {
    stopping = true;
    holder.stop();
  }

  @Override
  void onReloaded() {
    reloadedOnce = true;
    lostSidecars.clear();
    keepReportsOnly();
    if (!closed) {
      closed = true;
      outbox.clear();
      holder.fence();
      append(List.of(new DecisionRecord.HolderClosed(id)));
    }
  }

  /** Tries a request; without tokens or sidecars it is refused. */
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
    Incarnation sidecar = sidecars.get(world.random.nextInt(sidecars.size()));
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
      intended.put(attempt, scheduled);
      append(List.of(new DecisionRecord.IntentRecorded(key, attempt, sidecar, "digest")));
    }
  }

  @Override
  void work() {
    holder.step();
    if (!cutFromPeers) {
      sendOutbox();
      List.copyOf(dispatched.values()).forEach(this::poll);
      List.copyOf(queries.values()).forEach(this::query);
    }
    reportLost();
    if (stopping && !closeWritten && holder.isDrained()) {
      closeWritten = true;
      append(List.of(new DecisionRecord.HolderClosed(id)));
    }
  }

  private void sendOutbox() {
    for (ScheduleAttempt attempt : outbox) {
      dispatched.put(attempt.id(), attempt);
      ScheduleSidecar sidecar = world.reachableSidecar(attempt.sidecar());
      if (sidecar != null && world.random.nextInt(10) > 0) {
        sidecar.receive(attempt);
      }
    }
    outbox.clear();
  }

  private void poll(ScheduleAttempt attempt) {
    ScheduleSidecar sidecar = world.reachableSidecar(attempt.sidecar());
    if (sidecar == null) {
      if (world.random.nextInt(20) == 0) {
        estimate(attempt);
      }
      return;
    }
    ScheduleSidecar.Answer answer = sidecar.query(attempt.id());
    if (answer.state() == RunState.UNKNOWN || world.random.nextInt(4) == 0) {
      return;
    }
    dispatched.remove(attempt.id());
    holder.settle(attempt.id(), answer.consumed());
    List<DecisionRecord> records = new ArrayList<>();
    if (answer.state() == RunState.RAN) {
      records.add(attempt.settled(answer.consumed(), true, true));
    }
    if (!attempt.repeatable()) {
      records.add(new DecisionRecord.OutcomeRecorded(attempt.key(), attempt.id(), answer.state()));
    }
    if (!records.isEmpty()) {
      append(records);
    }
  }

  private void estimate(ScheduleAttempt attempt) {
    dispatched.remove(attempt.id());
    holder.settle(attempt.id(), attempt.tokens());
    List<DecisionRecord> records = new ArrayList<>();
    records.add(attempt.settled(attempt.tokens(), false, false));
    if (!attempt.repeatable()) {
      records.add(
          new DecisionRecord.OutcomeRecorded(attempt.key(), attempt.id(), RunState.UNKNOWN));
    }
    append(records);
  }

  private void query(CallRecord call) {
    ScheduleSidecar sidecar = world.reachableSidecar(call.sidecar());
    if (sidecar == null) {
      return;
    }
    queries.remove(call.key());
    RunState found = sidecar.query(call.attempt()).state();
    if (found != RunState.UNKNOWN) {
      append(List.of(new DecisionRecord.OutcomeRecorded(call.key(), call.attempt(), found)));
    }
  }

  private void reportLost() {
    for (Incarnation sidecar : List.copyOf(lostSidecars)) {
      lostSidecars.remove(sidecar);
      outbox.stream()
          .filter(attempt -> attempt.sidecar().equals(sidecar))
          .toList()
          .forEach(this::dropUnsent);
      List.copyOf(dispatched.values()).stream()
          .filter(attempt -> attempt.sidecar().equals(sidecar))
          .forEach(this::estimate);
      append(List.of(new DecisionRecord.HolderDrained(id, sidecar)));
    }
  }

  private void dropUnsent(ScheduleAttempt attempt) {
    outbox.remove(attempt);
    holder.settle(attempt.id(), 0);
  }

  @Override
  void onEvent(DecisionEvent event) {
    holder.onEvent(event);
    if (event instanceof DecisionEvent.IntentAccepted accepted) {
      ScheduleAttempt attempt = intended.remove(accepted.attempt());
      if (attempt != null && !closed) {
        outbox.add(attempt);
      }
    } else if (event instanceof DecisionEvent.IntentRefused refused
        && intended.remove(refused.attempt()) != null) {
      holder.settle(refused.attempt(), 0);
      if (refused.existing() != null && !refused.existing().hasOutcome()) {
        queries.put(refused.key(), refused.existing());
      }
    } else if (event instanceof DecisionEvent.SidecarLost lost && !reloadedOnce) {
      lostSidecars.add(lost.sidecar());
    } else if (event instanceof DecisionEvent.HolderClosed own && own.holder().equals(id)) {
      closed = true;
      outbox.clear();
    }
  }
}
