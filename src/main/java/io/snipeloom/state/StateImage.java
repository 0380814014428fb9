package io.snipeloom.state;

import java.util.List;

/**
 * The decision state in a snapshot. Lists are in an order that depends on the log alone, so that
 * equal states have equal bytes.
 */
record StateImage(
    long appliedOffset,
    ConfigurationImage configuration,
    List<WriterTable.LastBatch> writers,
    List<SidecarTable.Image> sidecars,
    List<Holder.Image> holders,
    List<BudgetState.Image> budgets,
    SettlementTable.Image settlements,
    CallTable.Image calls,
    CrashTable.Image crashes,
    List<IssuedOrder> orders,
    SnapshotProgress.Image snapshots,
    List<Counters.Count> counters) {

  /** The configuration document in a snapshot. */
  record ConfigurationImage(
      long offset,
      List<Entry<Customer>> customers,
      List<Entry<Budget>> budgets,
      List<Entry<TopUp>> topUps,
      List<Entry<Upstream>> upstreams,
      List<Entry<RequestClass>> requestClasses) {

    static ConfigurationImage of(ConfigurationDocument document) {
      return new ConfigurationImage(
          document.offset(),
          List.copyOf(document.customers()),
          List.copyOf(document.budgets()),
          List.copyOf(document.topUps()),
          List.copyOf(document.upstreams()),
          List.copyOf(document.requestClasses()));
    }

    ConfigurationDocument document() {
      return ConfigurationDocument.restore(
          offset, customers, budgets, topUps, upstreams, requestClasses);
    }
  }
}
