package io.snipeloom.state;

import java.util.List;

/**
 * The decision state in a snapshot. Lists are in an order that depends on the log alone, so that
 * equal states have equal bytes.
 */
record StateImage(
    long appliedOffset,
    ConfigurationSnapshot configuration,
    List<WriterTable.LastBatch> writers,
    List<SidecarTable.Image> sidecars,
    List<Holder.Image> holders,
    List<BudgetState.Image> budgets,
    SettlementTable.Image settlements,
    CallTable.Image calls,
    CrashTable.Image crashes,
    List<IssuedOrder> orders,
    SnapshotProgress.Image snapshots,
    List<Counters.Count> counters) {}
