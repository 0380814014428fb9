package io.snipeloom.coordination;

import io.snipeloom.state.BudgetAccount;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.DecisionCounter;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RequestKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Records what the engines actually consumed and ran, and checks every decision against it. */
final class ScheduleOracle {
  private static final int DIGEST_INTERVAL = 47;

  private final DecisionState state;
  private final Map<BudgetId, Long> consumed = new HashMap<>();
  private final Map<RequestKey, Integer> runs = new HashMap<>();
  private final Map<Long, Long> digests = new HashMap<>();
  private final Set<RequestKey> billed = new HashSet<>();
  private final Set<RequestKey> expectedBills = new HashSet<>();

  ScheduleOracle(DecisionState state) {
    this.state = state;
  }

  DecisionState state() {
    return state;
  }

  void require(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  void onAppend(long offset, RecordBatch batch) {
    for (DecisionEvent event : state.apply(offset, batch).events()) {
      if (event instanceof DecisionEvent.SettlementApplied settlement && settlement.billed()) {
        require(billed.add(settlement.key()), "billed twice: " + settlement.key());
      }
    }
    recordExpectedBills(batch);
    state.audit();
    if (offset % DIGEST_INTERVAL == 0) {
      digests.put(offset, state.digest());
    }
    checkBudgets();
  }

  private void recordExpectedBills(RecordBatch batch) {
    for (DecisionRecord record : batch.records()) {
      if (record instanceof DecisionRecord.AttemptSettled settled && settled.billed()) {
        expectedBills.add(settled.key());
      }
    }
  }

  void onConsumed(BudgetId budget, long tokens) {
    consumed.merge(budget, tokens, Long::sum);
    checkBudgets();
  }

  void onRun(RequestKey key) {
    int count = runs.merge(key, 1, Integer::sum);
    require(count == 1, "ran twice: " + key);
  }

  void compare(ScheduleNode node) {
    Long expected = digests.get(node.state().appliedOffset());
    if (expected != null) {
      require(expected == node.state().digest(), "digest differs at " + node.id);
    }
  }

  /** Compares the state of a node that has read the whole log. */
  void compareFinalState(ScheduleNode node) {
    if (node.isReady() && node.state().appliedOffset() == state.appliedOffset()) {
      require(state.digest() == node.state().digest(), "digest differs at the end: " + node.id);
    }
  }

  /**
   * Checks that no budget is overspent and that consumed tokens are never back in the pool, from
   * which they could be granted again.
   */
  private void checkBudgets() {
    consumed.forEach(
        (budget, tokens) -> {
          BudgetAccount account = state.budget(budget).orElseThrow();
          require(tokens <= account.toppedUp(), "overspent " + budget);
          require(
              account.pool() + tokens <= account.toppedUp(),
              "consumed tokens are back in the pool of " + budget + ": " + account + " " + tokens);
        });
    require(state.count(DecisionCounter.TOKENS_OVERDRAWN) == 0, "consumed beyond a claim");
  }

  /**
   * Checks that each key is billed or that a counter accounts for a missing bill. Call once every
   * settlement is in the log.
   */
  void checkBills() {
    long accounted =
        state.count(DecisionCounter.SETTLEMENTS_LATE)
            + state.count(DecisionCounter.SETTLEMENTS_UNCOUNTED)
            + state.count(DecisionCounter.BATCHES_STALE);
    long missing = expectedBills.stream().filter(key -> !billed.contains(key)).count();
    require(
        missing <= accounted,
        missing + " keys not billed, " + accounted + " accounted for by counters");
  }
}
