package io.snipeloom.state;

/** Creates and connects the tables that make up the decision state. */
final class DecisionTables {
  private final Counters counters = new Counters();
  private final SidecarTable sidecars = new SidecarTable();
  private final BudgetTable budgets = new BudgetTable(counters);
  private final OrderTable orders = new OrderTable();
  private final SnapshotProgress snapshots = new SnapshotProgress();
  private final WriterTable writers;
  private final HolderTable holders;
  private final SettlementTable settlements;
  private final CallTable calls;
  private final CrashTable crashes;
  private ConfigurationDocument configuration = ConfigurationDocument.empty();

  DecisionTables(DecisionLimits limits) {
    this.writers = new WriterTable(limits);
    this.holders = new HolderTable(limits, sidecars);
    this.settlements = new SettlementTable(limits, holders, counters);
    this.calls = new CallTable(limits);
    this.crashes = new CrashTable(limits);
  }

  Counters counters() {
    return counters;
  }

  WriterTable writers() {
    return writers;
  }

  SidecarTable sidecars() {
    return sidecars;
  }

  HolderTable holders() {
    return holders;
  }

  BudgetTable budgets() {
    return budgets;
  }

  SettlementTable settlements() {
    return settlements;
  }

  CallTable calls() {
    return calls;
  }

  CrashTable crashes() {
    return crashes;
  }

  OrderTable orders() {
    return orders;
  }

  SnapshotProgress snapshots() {
    return snapshots;
  }

  ConfigurationDocument configuration() {
    return configuration;
  }

  void replaceConfiguration(ConfigurationDocument document) {
    configuration = document;
  }

  StateImage image(long appliedOffset) {
    return new StateImage(
        appliedOffset,
        configuration.toSnapshot(),
        writers.image(),
        sidecars.image(),
        holders.image(),
        budgets.image(),
        settlements.image(),
        calls.image(),
        crashes.image(),
        orders.image(),
        snapshots.image(),
        counters.image());
  }

  /** Restores the tables from a snapshot; they must be empty. */
  void restore(StateImage image) {
    configuration = ConfigurationDocument.of(image.configuration());
    writers.restore(image.writers());
    sidecars.restore(image.sidecars());
    holders.restore(image.holders());
    budgets.restore(image.budgets());
    settlements.restore(image.settlements());
    calls.restore(image.calls());
    crashes.restore(image.crashes());
    orders.restore(image.orders());
    snapshots.restore(image.snapshots());
    counters.restore(image.counters());
  }
}
