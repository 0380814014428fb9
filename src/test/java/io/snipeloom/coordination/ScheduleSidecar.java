package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionEvent.SettlementEffect;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RunState;
import io.snipeloom.state.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A sidecar that runs attempts, keeps their results and reports closed holders as drained. */
final class ScheduleSidecar extends ScheduleNode {
  private final Map<AttemptId, Run> runs = new LinkedHashMap<>();
  private final Set<AttemptId> tombstones = new HashSet<>();
  private final Set<AttemptId> estimated = new LinkedHashSet<>();
  private final Set<Incarnation> draining = new LinkedHashSet<>();
  private boolean leaving;
  private boolean leaveAppended;
  private boolean stopped;

  ScheduleSidecar(ScheduleSimulation simulation, Incarnation id) {
    super(simulation, id);
    append(List.of(new DecisionRecord.SidecarJoined(id, UpstreamId.of("engines"))));
  }

  boolean isStopped() {
    return stopped;
  }

  void leave() {
    leaving = true;
  }

  /**
   * Runs an attempt. Ignores it if it was received or queried before, if it is for another sidecar
   * or of a closed holder, or if this sidecar is leaving or not ready.
   */
  void receive(ScheduleAttempt attempt) {
    boolean handledBefore = runs.containsKey(attempt.id()) || tombstones.contains(attempt.id());
    boolean canRun = attempt.sidecar().equals(id) && isReady() && state().isLive(id);
    Incarnation holder = attempt.id().holder();
    if (handledBefore || leaving || !canRun || !state().isOpen(holder)) {
      return;
    }
    runs.put(attempt.id(), new Run(attempt));
    if (!attempt.repeatable()) {
      simulation.oracle.onRun(attempt.key());
    }
  }

  /**
   * Returns the state of an attempt and the tokens that it consumed. An attempt that was never
   * received gets a tombstone, so that it cannot run later.
   */
  AttemptStatus query(AttemptId attempt) {
    Run run = runs.get(attempt);
    if (run == null) {
      tombstones.add(attempt);
      return new AttemptStatus(RunState.NOT_RUN, 0);
    }
    return run.done
        ? new AttemptStatus(RunState.RAN, run.consumed)
        : new AttemptStatus(RunState.UNKNOWN, 0);
  }

  /** Crashes. Unfinished runs have consumed tokens that are never reported. */
  void crash() {
    stopped = true;
    runs.values().stream().filter(run -> !run.done).forEach(this::finish);
  }

  private void finish(Run run) {
    run.done = true;
    run.consumed = simulation.random.nextLong(run.attempt.tokens() + 1);
    simulation.oracle.onConsumed(run.attempt.budget(), run.consumed);
  }

  @Override
  void runTasks() {
    for (Run run : List.copyOf(runs.values())) {
      if (!run.done && simulation.random.nextInt(3) == 0) {
        finish(run);
      }
    }
    replaceEstimates();
    List.copyOf(draining).forEach(this::reportDrained);
    if (leaving && !leaveAppended && runs.values().stream().allMatch(run -> run.done)) {
      leaveAppended = true;
      List<DecisionRecord> records = new ArrayList<>();
      runs.values().forEach(run -> addSettlement(run, records));
      records.add(new DecisionRecord.SidecarLeft(id));
      append(records);
    }
  }

  @Override
  void onRestored() {
    discardAllButReports();
    leaveAppended = false;
    draining.addAll(state().strandedHolders());
  }

  private void replaceEstimates() {
    for (AttemptId attempt : List.copyOf(estimated)) {
      Run run = runs.get(attempt);
      if (run != null && run.done) {
        estimated.remove(attempt);
        append(List.of(run.attempt.settlement(run.consumed, true, false)));
      }
    }
  }

  private void reportDrained(Incarnation holder) {
    List<Run> own = runs.values().stream().filter(run -> run.isFrom(holder)).toList();
    if (own.stream().allMatch(run -> run.done)) {
      draining.remove(holder);
      List<DecisionRecord> records = new ArrayList<>();
      own.forEach(run -> addSettlement(run, records));
      records.add(new DecisionRecord.HolderDrained(holder, id));
      append(records);
    }
  }

  private static void addSettlement(Run run, List<DecisionRecord> records) {
    records.add(run.attempt.settlement(run.consumed, true, false));
    if (!run.attempt.repeatable()) {
      records.add(
          new DecisionRecord.OutcomeRecorded(run.attempt.key(), run.attempt.id(), RunState.RAN));
    }
  }

  @Override
  void onEvent(DecisionEvent event) {
    if (event instanceof DecisionEvent.HolderClosed closed) {
      draining.add(closed.holder());
    } else if (event instanceof DecisionEvent.SidecarLost lost && lost.sidecar().equals(id)) {
      leaving = true;
    } else if (event instanceof DecisionEvent.SidecarLeft left && left.sidecar().equals(id)) {
      stopped = true;
    } else if (event instanceof DecisionEvent.SettlementApplied settled
        && settled.effect() == SettlementEffect.COUNTED
        && !settled.exact()) {
      estimated.add(settled.attempt());
    }
  }

  /** The state of an attempt, unknown while it runs, and the tokens that it consumed. */
  record AttemptStatus(RunState state, long consumed) {}

  /** An attempt that the engine runs or has finished. */
  private static final class Run {
    private final ScheduleAttempt attempt;
    private long consumed;
    private boolean done;

    private Run(ScheduleAttempt attempt) {
      this.attempt = attempt;
    }

    private boolean isFrom(Incarnation holder) {
      return attempt.id().holder().equals(holder);
    }
  }
}
