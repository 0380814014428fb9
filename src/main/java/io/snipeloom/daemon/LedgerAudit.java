package io.snipeloom.daemon;

import io.snipeloom.coordination.BillLine;
import io.snipeloom.coordination.BudgetBalance;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.RequestKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a ledger bills each request only once and that its lines add up exactly to the billed
 * tokens of the balances.
 *
 * <p>All balances must be added before the lines. A line counts towards a balance if its log offset
 * is not after that of the balance. Not thread-safe. Keeps the request key of each line in memory.
 */
final class LedgerAudit {
  private final Map<BudgetId, BudgetBalance> balances = new HashMap<>();
  private final Map<BudgetId, Long> billedTokensByBudget = new HashMap<>();
  private final Set<RequestKey> billedKeys = new HashSet<>();
  private final List<String> faults = new ArrayList<>();
  private long expectedLine;
  private long totalTokens;

  void add(BudgetBalance balance) {
    balances.put(balance.budget(), balance);
    long held =
        balance.holders().stream()
            .filter(holder -> !holder.closed())
            .mapToLong(holder -> holder.heldTokens())
            .sum();
    long accountedTokens =
        balance.poolTokens() + held + balance.consumedTokens() + balance.strandedTokens();
    if (accountedTokens != balance.toppedUpTokens()) {
      faults.add(
          "budget %s: pool, held, consumed and stranded make %d but %d were topped up"
              .formatted(balance.budget(), accountedTokens, balance.toppedUpTokens()));
    }
    if (balance.billedTokens() > balance.consumedTokens()) {
      faults.add(
          "budget %s: %d billed but only %d consumed"
              .formatted(balance.budget(), balance.billedTokens(), balance.consumedTokens()));
    }
  }

  void add(BillLine line) {
    if (line.line() != expectedLine) {
      faults.add("line %d stands where line %d was expected".formatted(line.line(), expectedLine));
    }
    expectedLine = line.line() + 1;
    if (!billedKeys.add(line.key())) {
      faults.add(
          "line %d bills request %s of %s again"
              .formatted(line.line(), line.key().token(), line.key().customer()));
    }
    if (line.tokens() < 0) {
      faults.add("line %d bills %d tokens".formatted(line.line(), line.tokens()));
    }
    totalTokens = Math.addExact(totalTokens, line.tokens());
    BudgetBalance balance = balances.get(line.budget());
    if (balance == null) {
      faults.add("line %d: there is no budget %s".formatted(line.line(), line.budget()));
    } else if (line.offset() <= balance.asOfOffset()) {
      billedTokensByBudget.merge(line.budget(), line.tokens(), Math::addExact);
    }
  }

  /** Returns descriptions of the faults found; empty if there are none. */
  List<String> faults() {
    List<String> found = new ArrayList<>(faults);
    for (BudgetBalance balance : balances.values()) {
      long sum = billedTokensByBudget.getOrDefault(balance.budget(), 0L);
      if (sum != balance.billedTokens()) {
        found.add(
            "budget %s: lines make %d but the balance says %d billed"
                .formatted(balance.budget(), sum, balance.billedTokens()));
      }
    }
    return found;
  }

  int lineCount() {
    return billedKeys.size();
  }

  long totalTokens() {
    return totalTokens;
  }
}
