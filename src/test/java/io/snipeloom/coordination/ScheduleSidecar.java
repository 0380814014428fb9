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

/** A sidecar: runs attempts, keeps their results, and reports on closed holders. */
final class ScheduleSidecar extends ScheduleNode {
  private final Map<AttemptId, Run> runs = new LinkedHashMap<>();
  private final Set<AttemptId> tombstones = new HashSet<>();
  private final Set<AttemptId> estimated = new LinkedHashSet<>();
  private final Set<Incarnation> draining = new LinkedHashSet<>();
  private boolean leaving;
  private boolean leftWritten;
  private boolean gone;

  ScheduleSidecar(ScheduleWorld world, Incarnation id) {
    super(world, id);
    append(List.of(new DecisionRecord.SidecarJoined(id, UpstreamId.of("engines"))));
  }

  boolean isGone() {
    return gone;
  }

  void leave() {
    leaving = true;
  }

  /** Takes an attempt unless it must not run here. */
  void receive(ScheduleAttempt attempt) {
    boolean known = runs.containsKey(attempt.id()) || tombstones.contains(attempt.id());
    boolean mine = attempt.sidecar().equals(id) && isReady() && state().isLive(id);
    Incarnation holder = attempt.id().holder();
    if (known || leaving || !mine || !state().isOpen(holder)) {
      return;
    }
    runs.put(attempt.id(), new Run(attempt));
    if (!attempt.repeatable()) {
      world.oracle.onRun(attempt.key());
    }
  }

  /** Returns the tokens consumed, or null while running; plants a tombstone if never received. */
  Answer query(AttemptId attempt) {
    Run run = runs.get(attempt);
    if (run == null) {
      tombstones.add(attempt);
      return new Answer(RunState.NOT_RUN, 0);
    }
    return run.done ? new Answer(RunState.RAN, run.consumed) : new Answer(RunState.UNKNOWN, 0);
  }

  /** Stops with runs half done, which have consumed some tokens nobody reports. */
  void die() {
    gone = true;
    runs.values().stream().filter(run -> !run.done).forEach(this::finish);
  }

  private void finish(Run run) {
    run.done = true;
    run.consumed = world.random.nextLong(run.attempt.tokens() + 1);
    world.oracle.onConsumed(run.attempt.budget(), run.consumed);
  }

  @Override
  void work() {
    for (Run run : List.copyOf(runs.values())) {
      if (!run.done && world.random.nextInt(3) == 0) {
        finish(run);
      }
    }
    replaceEstimates();
    List.copyOf(draining).forEach(this::drain);
    if (leaving && !leftWritten && runs.values().stream().allMatch(run -> run.done)) {
      leftWritten = true;
      List<DecisionRecord> records = new ArrayList<>();
      runs.values().forEach(run -> addReport(run, records));
      records.add(new DecisionRecord.SidecarLeft(id));
      append(records);
    }
  }

  @Override
  void onReloaded() {
    keepReportsOnly();
    leftWritten = false;
    draining.addAll(state().strandedHolders());
  }

  private void replaceEstimates() {
    for (AttemptId attempt : List.copyOf(estimated)) {
      Run run = runs.get(attempt);
      if (run != null && run.done) {
        estimated.remove(attempt);
        append(List.of(run.attempt.settled(run.consumed, true, false)));
      }
    }
  }

  private void drain(Incarnation holder) {
    List<Run> own = runs.values().stream().filter(run -> run.isOf(holder)).toList();
    if (own.stream().allMatch(run -> run.done)) {
      draining.remove(holder);
      List<DecisionRecord> records = new ArrayList<>();
      own.forEach(run -> addReport(run, records));
      records.add(new DecisionRecord.HolderDrained(holder, id));
      append(records);
    }
  }

  private static void addReport(Run run, List<DecisionRecord> records) {
    records.add(run.attempt.settled(run.consumed, true, false));
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
      gone = true;
    } else if (event instanceof DecisionEvent.SettlementApplied settled
        && settled.effect() == SettlementEffect.COUNTED
        && !settled.exact()) {
      estimated.add(settled.attempt());
    }
  }

  /** What became of an attempt; unknown while it runs. */
  record Answer(RunState state, long consumed) {}

  /** An attempt at the engine. */
  private static final class Run {
    private final ScheduleAttempt attempt;
    private long consumed;
    private boolean done;

    private Run(ScheduleAttempt attempt) {
      this.attempt = attempt;
    }

    private boolean isOf(Incarnation holder) {
      return attempt.id().holder().equals(holder);
    }
  }
}
