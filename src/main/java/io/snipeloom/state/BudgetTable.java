package io.snipeloom.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The budgets, and the moves of tokens between their pools and their holders. */
final class BudgetTable {
  private final Map<BudgetId, BudgetState> budgets = new HashMap<>();
  private final Counters counters;

  BudgetTable(Counters counters) {
    this.counters = counters;
  }

  /** Returns the budget, or an unknown one without tokens that is not kept. */
  BudgetState get(BudgetId id) {
    BudgetState known = budgets.get(id);
    return known == null ? new BudgetState(id) : known;
  }

  boolean contains(BudgetId id) {
    return budgets.containsKey(id);
  }

  int size() {
    return budgets.size();
  }

  /** Throws if the top-ups of a change cannot be taken as a whole. */
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
            "/topUps/%s/tokens must be 1 or more, and a budget at most %d"
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
    noteShare(holder, budget);
    return new DecisionEvent.ClaimGranted(
        offset, holder.id(), claim.askedTokens(), claim.neededTokens(), granted, budget.level());
  }

  DecisionEvent giveBack(long offset, Holder holder, DecisionRecord.ClaimReturned record) {
    BudgetState budget = get(record.budget());
    long returned = holder.isOpen() ? budget.giveBack(holder.id(), record.tokens()) : 0;
    counters.add(DecisionCounter.TOKENS_RETURNED_UNHELD, record.tokens() - returned);
    noteShare(holder, budget);
    return new DecisionEvent.ReturnApplied(offset, holder.id(), returned, budget.level());
  }

  /** Keeps the budgets of a holder in step with the tokens that it has left there. */
  void noteShare(Holder holder, BudgetState budget) {
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
