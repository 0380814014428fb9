package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.protocol.Message;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RunState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

/**
 * Appends the settlements and outcomes of attempts, and reports to the log when all attempts of a
 * closed holder are settled at this sidecar.
 *
 * <p>An attempt is open from its acceptance until its records are in the log. Not thread-safe;
 * confined to one executor.
 */
final class SettlementWriter {
  private final Incarnation self;
  private final RecordSink sink;
  private final Executor executor;
  private final MetricRegistry metrics;
  private final Map<Incarnation, Integer> openByHolder = new HashMap<>();
  private final Set<Incarnation> closedHolders = new HashSet<>();
  private int openCount;

  SettlementWriter(Incarnation self, RecordSink sink, Executor executor, MetricRegistry metrics) {
    this.self = self;
    this.sink = sink;
    this.executor = executor;
    this.metrics = metrics;
  }

  void accept(SidecarAttempt attempt) {
    openByHolder.merge(attempt.holder(), 1, Integer::sum);
    openCount++;
  }

  /**
   * Appends the settlement of an attempt that reached the back end, and its outcome if the request
   * is not repeatable.
   */
  void settle(SidecarAttempt attempt, boolean billed, RunState outcome) {
    List<DecisionRecord> records = new ArrayList<>();
    Message.Dispatch dispatch = attempt.dispatch();
    records.add(
        new DecisionRecord.AttemptSettled(
            dispatch.attempt(),
            dispatch.key(),
            dispatch.issuedAtMillis(),
            dispatch.budget(),
            dispatch.requestClass(),
            attempt.meter().consumedTokens(),
            true,
            billed));
    addOutcome(attempt, outcome, records);
    metrics.meter("sidecar.settlements").mark();
    append(attempt, records);
  }

  /**
   * Appends the outcome of an attempt that did not reach the back end or did no work there. A
   * repeatable request has no outcome record.
   */
  void release(SidecarAttempt attempt) {
    List<DecisionRecord> records = new ArrayList<>();
    addOutcome(attempt, RunState.NOT_RUN, records);
    if (records.isEmpty()) {
      closeAttempt(attempt);
    } else {
      append(attempt, records);
    }
  }

  private static void addOutcome(
      SidecarAttempt attempt, RunState outcome, List<DecisionRecord> records) {
    if (!attempt.isRepeatable()) {
      records.add(
          new DecisionRecord.OutcomeRecorded(attempt.dispatch().key(), attempt.id(), outcome));
    }
  }

  private void append(SidecarAttempt attempt, List<DecisionRecord> records) {
    CompletionStage<Long> done = sink.append(records);
    var unused = done.thenRunAsync(() -> closeAttempt(attempt), executor);
  }

  private void closeAttempt(SidecarAttempt attempt) {
    openCount--;
    openByHolder.computeIfPresent(
        attempt.holder(), (holder, count) -> count == 1 ? null : count - 1);
    reportIfDrained(attempt.holder());
  }

  /** Appends a record that a suspect request ran alone to completion. */
  void clearSuspect(String fingerprint) {
    var unused = sink.append(List.of(new DecisionRecord.SuspectCleared(fingerprint, self)));
  }

  void holderClosed(Incarnation holder) {
    closedHolders.add(holder);
    reportIfDrained(holder);
  }

  private void reportIfDrained(Incarnation holder) {
    if (!openByHolder.containsKey(holder) && closedHolders.remove(holder)) {
      var unused = sink.append(List.of(new DecisionRecord.HolderDrained(holder, self)));
    }
  }

  /** Returns whether the records of all attempts are in the log. */
  boolean isSettled() {
    return openCount == 0;
  }

  int openCount() {
    return openCount;
  }
}
