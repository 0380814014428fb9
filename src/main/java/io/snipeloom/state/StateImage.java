package io.snipeloom.state;

import java.util.List;

/**
 * The decision state as stored in a snapshot. The order of each list depends only on the log, so
 * that equal states are serialized to equal bytes.
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
