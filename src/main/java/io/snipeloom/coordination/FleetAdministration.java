package io.snipeloom.coordination;

import io.snipeloom.state.Budget;
import io.snipeloom.state.BudgetAccount;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.ConfigurationSection;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * Answers queries of operators from the replica of the decision state, and appends their decisions
 * to the log.
 *
 * <p>Thread-safe.
 */
public final class FleetAdministration implements BudgetReader, OperatorActions {
  private final LogReplica replica;
  private final RecordSink records;

  /**
   * Creates an instance.
   *
   * @param replica the replica of the decision state
   * @param records the sink for the operators' decisions
   */
  public FleetAdministration(LogReplica replica, RecordSink records) {
    this.replica = replica;
    this.records = records;
  }

  @Override
  public Optional<BudgetBalance> balance(BudgetId budget) {
    return replica.read(state -> balanceIn(state, budget));
  }

  @Override
  public List<BudgetBalance> balances(BudgetId after, int limit) {
    String start = after == null ? "" : after.value();
    return replica.read(
        state ->
            state.configuration().page(ConfigurationSection.BUDGETS, start, limit).stream()
                .map(entry -> ((Budget) entry.value()).id())
                .flatMap(id -> balanceIn(state, id).stream())
                .toList());
  }

  private static Optional<BudgetBalance> balanceIn(DecisionState state, BudgetId id) {
    ConfigurationDocument document = state.configuration();
    Optional<Budget> budget = document.budget(id);
    Optional<BudgetAccount> account = state.budget(id);
    if (budget.isEmpty() || account.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(balanceOf(state, budget.get(), account.get()));
  }

  private static BudgetBalance balanceOf(
      DecisionState state, Budget budget, BudgetAccount account) {
    List<HolderBalance> holders =
        account.remaining().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(
                held ->
                    new HolderBalance(
                        held.getKey(), held.getValue(), state.isClosed(held.getKey())))
            .toList();
    return new BudgetBalance(
        budget.id(),
        budget.customer(),
        state.appliedOffset(),
        account.toppedUp(),
        account.pool(),
        holders,
        account.consumed(),
        account.billed(),
        account.stranded());
  }

  @Override
  public CompletionStage<Long> writeOff(Incarnation holder, String operator) {
    return records.appendNow(List.of(new DecisionRecord.HolderWrittenOff(holder, operator)));
  }

  @Override
  public CompletionStage<Long> liftConviction(String fingerprint, String operator) {
    return records.appendNow(List.of(new DecisionRecord.ConvictionLifted(fingerprint, operator)));
  }

  @Override
  public CompletionStage<Long> order(InstanceId target, EngineOrder order, String operator) {
    return records.appendNow(List.of(new DecisionRecord.OrderIssued(target, order)));
  }
}
