package io.snipeloom.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Applies the records of one batch to the decision state and collects the resulting events. */
final class RecordApplier {
  private final DecisionTables tables;
  private final long offset;
  private final Incarnation writer;
  private final List<DecisionEvent> events;

  RecordApplier(
      DecisionTables tables, long offset, Incarnation writer, List<DecisionEvent> events) {
    this.tables = tables;
    this.offset = offset;
    this.writer = writer;
    this.events = events;
  }

  void apply(DecisionRecord record) {
    if (record instanceof DecisionRecord.AttemptSettled settled) {
      settle(settled);
    } else if (record instanceof DecisionRecord.ClaimRequested claim) {
      claim(claim);
    } else if (record instanceof DecisionRecord.ClaimReturned returned) {
      returnTokens(returned);
    } else if (record instanceof DecisionRecord.IntentRecorded intent) {
      events.add(tables.calls().recordIntent(offset, intent, refusalCodeOf(intent)));
    } else if (record instanceof DecisionRecord.OutcomeRecorded outcome) {
      events.add(tables.calls().recordOutcome(offset, outcome));
    } else if (record instanceof DecisionRecord.ConfigurationChanged changed) {
      changeConfiguration(changed.change());
    } else if (record instanceof DecisionRecord.OrderIssued order) {
      events.add(tables.orders().issue(offset, order));
    } else if (record instanceof DecisionRecord.SnapshotChunk chunk) {
      tables
          .snapshots()
          .accept(offset, writer, chunk)
          .ifPresent(asOf -> events.add(new DecisionEvent.SnapshotCompleted(offset, asOf)));
    } else {
      applyMembership(record);
    }
  }

  private void applyMembership(DecisionRecord record) {
    if (record instanceof DecisionRecord.SidecarJoined joined) {
      join(joined);
    } else if (record instanceof DecisionRecord.SidecarLeft left) {
      leave(left);
    } else if (record instanceof DecisionRecord.HolderClosed closed) {
      close(closed.holder());
    } else if (record instanceof DecisionRecord.HolderDrained drained) {
      tables
          .holders()
          .reportDrained(drained.holder(), drained.sidecar(), writer)
          .ifPresent(this::releaseIfDrained);
    } else if (record instanceof DecisionRecord.HolderWrittenOff writtenOff) {
      writeOff(writtenOff);
    } else if (record instanceof DecisionRecord.CrashReported crash) {
      tables.crashes().report(offset, crash, events);
    } else if (record instanceof DecisionRecord.SuspectCleared cleared) {
      tables.crashes().clear(offset, cleared, events);
    } else if (record instanceof DecisionRecord.ConvictionLifted lifted) {
      tables.crashes().lift(offset, lifted, events);
    } else {
      throw new IllegalStateException("unknown record " + record.getClass().getSimpleName());
    }
  }

  private void changeConfiguration(ConfigurationChange change) {
    Collection<TopUp> topUps = newTopUps(change);
    try {
      ConfigurationDocument document = tables.configuration().with(offset, change);
      tables.budgets().checkTopUps(topUps);
      tables.replaceConfiguration(document);
    } catch (SnipeloomException e) {
      events.add(
          new DecisionEvent.ConfigurationRefused(
              offset, change, e.code(), e.getMessage(), e.violations()));
      return;
    }
    events.add(new DecisionEvent.ConfigurationAccepted(offset, change));
    topUps.forEach(topUp -> events.add(tables.budgets().topUp(offset, topUp)));
  }

  /**
   * Returns the top-ups of a change that are not yet in the configuration. A top-up that occurs
   * more than once in the change is returned once.
   */
  private Collection<TopUp> newTopUps(ConfigurationChange change) {
    Map<TopUpId, TopUp> topUps = new LinkedHashMap<>();
    for (ConfigurationEdit edit : change.edits()) {
      if (edit instanceof ConfigurationEdit.AddTopUp add
          && tables.configuration().topUp(add.topUp().id()).isEmpty()) {
        topUps.putIfAbsent(add.topUp().id(), add.topUp());
      }
    }
    return topUps.values();
  }

  private void claim(DecisionRecord.ClaimRequested claim) {
    Holder holder = tables.holders().openOrCreate(claim.holder()).orElse(null);
    if (holder == null) {
      tables.counters().add(DecisionCounter.CLAIMS_REFUSED, 1);
      events.add(new DecisionEvent.ClaimRefused(offset, claim.holder(), claim.budget()));
    } else {
      events.add(tables.budgets().claim(offset, holder, claim));
    }
  }

  private void returnTokens(DecisionRecord.ClaimReturned returned) {
    Holder holder = tables.holders().find(returned.holder()).orElse(null);
    if (holder == null) {
      tables.counters().add(DecisionCounter.TOKENS_RETURNED_UNHELD, returned.tokens());
    } else {
      events.add(tables.budgets().returnTokens(offset, holder, returned));
    }
  }

  private void settle(DecisionRecord.AttemptSettled settled) {
    BudgetState budget = tables.budgets().get(settled.budget());
    events.add(tables.settlements().settle(offset, settled, budget));
    tables
        .holders()
        .find(settled.attempt().holder())
        .ifPresent(holder -> tables.budgets().updateHolderBudgets(holder, budget));
  }

  /** Returns why an intent cannot be accepted now; null if it can. */
  private ErrorCode refusalCodeOf(DecisionRecord.IntentRecorded intent) {
    if (tables.holders().isClosed(intent.attempt().holder())) {
      return ErrorCode.FENCED;
    }
    return tables.sidecars().isLive(intent.sidecar()) ? null : ErrorCode.NO_UPSTREAM;
  }

  private void join(DecisionRecord.SidecarJoined joined) {
    if (tables.sidecars().find(joined.sidecar()).isPresent()) {
      return;
    }
    tables.sidecars().liveSidecarOf(joined.sidecar().instance()).ifPresent(this::markLost);
    tables.sidecars().add(joined.sidecar(), joined.upstream(), false);
    events.add(new DecisionEvent.SidecarJoined(offset, joined.sidecar(), joined.upstream()));
  }

  private void markLost(Sidecar sidecar) {
    tables.sidecars().markLost(sidecar);
    events.add(new DecisionEvent.SidecarLost(offset, sidecar.incarnation()));
    tables.holders().awaitReportsOnLost(sidecar);
  }

  private void leave(DecisionRecord.SidecarLeft left) {
    Sidecar sidecar = tables.sidecars().find(left.sidecar()).orElse(null);
    if (sidecar == null) {
      return;
    }
    List<Holder> affected = tables.holders().reportAllDrained(sidecar);
    tables.sidecars().remove(sidecar);
    events.add(new DecisionEvent.SidecarLeft(offset, left.sidecar()));
    affected.forEach(this::releaseIfDrained);
  }

  private void close(Incarnation id) {
    Holder holder = tables.holders().close(id).orElse(null);
    if (holder == null) {
      return;
    }
    tables.budgets().close(holder);
    events.add(new DecisionEvent.HolderClosed(offset, id));
    releaseIfDrained(holder);
  }

  private void releaseIfDrained(Holder holder) {
    boolean closed = holder.phase() == Holder.Phase.CLOSED;
    boolean hasNoTokens = holder.budgets().isEmpty();
    if (closed && (hasNoTokens || tables.holders().isDrained(holder))) {
      Map<BudgetId, Long> tokens = tables.budgets().release(holder);
      tables.holders().markReleased(holder, offset);
      events.add(new DecisionEvent.HolderReleased(offset, holder.id(), tokens));
    }
  }

  private void writeOff(DecisionRecord.HolderWrittenOff record) {
    Holder holder = tables.holders().find(record.holder()).orElse(null);
    if (holder == null || holder.phase() != Holder.Phase.CLOSED) {
      return;
    }
    Map<BudgetId, Long> tokens = tables.budgets().writeOff(holder);
    tables.holders().markReleased(holder, offset);
    events.add(new DecisionEvent.HolderWrittenOff(offset, holder.id(), record.operator(), tokens));
  }
}
