package io.snipeloom.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The budgets, with the transfers of tokens between their pools and the holders. */
final class BudgetTable {
  private final Map<BudgetId, BudgetState> budgets = new HashMap<>();
  private final Counters counters;

  BudgetTable(Counters counters) {
    this.counters = counters;
  }

  /** Returns the budget, or an empty one that is not stored if the budget is unknown. */
  BudgetState get(BudgetId id) {
    BudgetState existing = budgets.get(id);
    return existing == null ? new BudgetState(id) : existing;
  }

  boolean contains(BudgetId id) {
    return budgets.containsKey(id);
  }

  int size() {
    return budgets.size();
  }

  /** Throws an exception unless all top-ups of a change can be applied together. */
  void checkTopUps(Collection<TopUp> topUps) {
    Map<BudgetId, Long> sums = new HashMap<>();
    for (TopUp topUp : topUps) {
      boolean inRange = topUp.tokens() >= 1 && topUp.tokens() <= RecordChecks.MAX_TOKENS;
      long sum =
          sums.getOrDefault(topUp.budget(), get(topUp.budget()).toppedUp())
              + (inRange ? topUp.tokens() : 0);
      if (!inRange || sum > RecordChecks.MAX_TOKENS) {
        throw SnipeloomException.of(
            ErrorCode.INVALID_CONFIGURATION,
            "/topUps/%s/tokens must be 1 or more, and the top-ups of a budget at most %d in total"
                .formatted(topUp.id(), RecordChecks.MAX_TOKENS));
      }
      sums.put(topUp.budget(), sum);
    }
  }

  DecisionEvent topUp(long offset, TopUp topUp) {
    BudgetState budget = budgets.computeIfAbsent(topUp.budget(), BudgetState::new);
    budget.topUp(topUp.tokens());
    return new DecisionEvent.ToppedUp(offset, topUp, budget.level());
  }

  DecisionEvent claim(long offset, Holder holder, DecisionRecord.ClaimRequested claim) {
    BudgetState budget = get(claim.budget());
    long granted = budget.claim(holder.id(), claim.askedTokens(), claim.neededTokens());
    updateHolderBudgets(holder, budget);
    return new DecisionEvent.ClaimGranted(
        offset, holder.id(), claim.askedTokens(), claim.neededTokens(), granted, budget.level());
  }

  DecisionEvent returnTokens(long offset, Holder holder, DecisionRecord.ClaimReturned record) {
    BudgetState budget = get(record.budget());
    long returned = holder.isOpen() ? budget.returnTokens(holder.id(), record.tokens()) : 0;
    counters.add(DecisionCounter.TOKENS_RETURNED_UNHELD, record.tokens() - returned);
    updateHolderBudgets(holder, budget);
    return new DecisionEvent.ReturnApplied(offset, holder.id(), returned, budget.level());
  }

  /** Updates the set of budgets in which a holder has unspent tokens. */
  void updateHolderBudgets(Holder holder, BudgetState budget) {
    if (budget.remaining(holder.id()) > 0) {
      holder.budgets().add(budget.id());
    } else {
      holder.budgets().remove(budget.id());
    }
  }

  void close(Holder holder) {
    holder.budgets().forEach(id -> get(id).close(holder.id()));
  }

  Map<BudgetId, Long> release(Holder holder) {
    Map<BudgetId, Long> tokens = new TreeMap<>();
    holder.budgets().forEach(id -> tokens.put(id, get(id).release(holder.id())));
    holder.budgets().clear();
    return tokens;
  }

  Map<BudgetId, Long> writeOff(Holder holder) {
    Map<BudgetId, Long> tokens = new TreeMap<>();
    holder.budgets().forEach(id -> tokens.put(id, get(id).writeOff(holder.id())));
    holder.budgets().clear();
    return tokens;
  }

  void audit() {
    budgets.values().forEach(BudgetState::audit);
  }

  List<BudgetState.Image> image() {
    return budgets.values().stream()
        .sorted(Comparator.comparing(BudgetState::id))
        .map(BudgetState::image)
        .toList();
  }

  void restore(List<BudgetState.Image> image) {
    image.forEach(entry -> budgets.put(entry.id(), BudgetState.restore(entry)));
  }
}
