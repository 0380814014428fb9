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
 * Checks that a ledger bills each request once and adds up to the token.
 *
 * <p>Balances are added first and lines after them; a line counts towards a balance if it is not
 * younger than the balance. Not thread-safe. Keeps one request key for each line.
 */
final class LedgerAudit {
  private final Map<BudgetId, BudgetBalance> balances = new HashMap<>();
  private final Map<BudgetId, Long> sums = new HashMap<>();
  private final Set<RequestKey> keys = new HashSet<>();
  private final List<String> faults = new ArrayList<>();
  private long nextLine;
  private long totalTokens;

  void add(BudgetBalance balance) {
    balances.put(balance.budget(), balance);
    long held =
        balance.holders().stream()
            .filter(holder -> !holder.closed())
            .mapToLong(holder -> holder.heldTokens())
            .sum();
    long placed = balance.poolTokens() + held + balance.consumedTokens() + balance.strandedTokens();
    if (placed != balance.toppedUpTokens()) {
      faults.add(
          "budget %s: pool, held, consumed and stranded make %d but %d were topped up"
              .formatted(balance.budget(), placed, balance.toppedUpTokens()));
    }
    if (balance.billedTokens() > balance.consumedTokens()) {
      faults.add(
          "budget %s: %d billed but only %d consumed"
              .formatted(balance.budget(), balance.billedTokens(), balance.consumedTokens()));
    }
  }

  void add(BillLine line) {
    if (line.line() != nextLine) {
      faults.add("line %d stands where line %d was expected".formatted(line.line(), nextLine));
    }
    nextLine = line.line() + 1;
    if (!keys.add(line.key())) {
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
      sums.merge(line.budget(), line.tokens(), Math::addExact);
    }
  }

  /** Returns what is wrong; empty if the ledger adds up. */
  List<String> faults() {
    List<String> found = new ArrayList<>(faults);
    for (BudgetBalance balance : balances.values()) {
      long sum = sums.getOrDefault(balance.budget(), 0L);
      if (sum != balance.billedTokens()) {
        found.add(
            "budget %s: lines make %d but the balance says %d billed"
                .formatted(balance.budget(), sum, balance.billedTokens()));
      }
    }
    return found;
  }

  int lineCount() {
    return keys.size();
  }

  long totalTokens() {
    return totalTokens;
  }
}
