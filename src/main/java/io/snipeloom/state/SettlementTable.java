package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.snipeloom.state.DecisionEvent.SettlementEffect;
import io.snipeloom.state.DecisionLimits.Guard;
import io.snipeloom.state.DecisionRecord.AttemptSettled;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the consumption of each attempt once and bills each request key once.
 *
 * <p>Consumption and billing are separate: every attempt of a request consumes tokens, but only one
 * settlement of its key is billed.
 */
final class SettlementTable {
  private final DecisionLimits limits;
  private final HolderTable holders;
  private final Counters counters;
  private final Map<AttemptId, Estimate> estimates = new LinkedHashMap<>();
  private final RecentKeys<Boolean> billedKeys;

  SettlementTable(DecisionLimits limits, HolderTable holders, Counters counters) {
    this.limits = limits;
    this.holders = holders;
    this.counters = counters;
    this.billedKeys = new RecentKeys<>(limits.maxBilledKeys());
  }

  /** Applies a settlement to its budget and bills its request key if required. */
  DecisionEvent settle(long offset, AttemptSettled record, BudgetState budget) {
    Holder holder = holders.find(record.attempt().holder()).orElse(null);
    Estimate estimate = estimates.get(record.attempt());
    SettlementEffect effect = classify(record, holder, estimate);
    long change =
        switch (effect) {
          case COUNTED -> count(record, holder, budget);
          case REPLACED -> replace(record, holder, estimate, budget);
          case DUPLICATE, UNCOUNTED -> 0;
        };
    countEffect(effect);
    boolean billed = effect != SettlementEffect.UNCOUNTED && bill(record, budget);
    long counted = isCounted(effect) ? record.consumedTokens() : 0;
    return new DecisionEvent.SettlementApplied(
        offset,
        record.attempt(),
        record.key(),
        counted,
        change,
        record.exact(),
        effect,
        billed,
        budget.level());
  }

  private SettlementEffect classify(AttemptSettled record, Holder holder, Estimate estimate) {
    if (holder == null) {
      return SettlementEffect.UNCOUNTED;
    }
    if (estimate != null) {
      boolean replaces =
          record.exact()
              && record.budget().equals(estimate.budget())
              && limits.isEnabled(Guard.ESTIMATE_REPLACEMENT);
      return replaces ? SettlementEffect.REPLACED : SettlementEffect.DUPLICATE;
    }
    if (holder.settled().contains(record.attempt().sequence())) {
      return SettlementEffect.DUPLICATE;
    }
    if (holder.phase() == Holder.Phase.RELEASED) {
      return SettlementEffect.UNCOUNTED;
    }
    return SettlementEffect.COUNTED;
  }

  private static boolean isCounted(SettlementEffect effect) {
    return effect == SettlementEffect.COUNTED || effect == SettlementEffect.REPLACED;
  }

  private void countEffect(SettlementEffect effect) {
    if (effect == SettlementEffect.DUPLICATE) {
      counters.add(DecisionCounter.SETTLEMENTS_DUPLICATE, 1);
    } else if (effect == SettlementEffect.UNCOUNTED) {
      counters.add(DecisionCounter.SETTLEMENTS_UNCOUNTED, 1);
    }
  }

  private long count(AttemptSettled record, Holder holder, BudgetState budget) {
    long sequence = record.attempt().sequence();
    if (holder.settled().isEvicted(sequence)) {
      counters.add(DecisionCounter.SETTLEMENTS_UNCHECKED, 1);
    }
    holder.settled().add(sequence);
    consume(record.consumedTokens(), holder, budget);
    if (!record.exact()) {
      retainEstimate(new Estimate(record.attempt(), budget.id(), record.consumedTokens(), 0));
    }
    return record.consumedTokens();
  }

  private void consume(long tokens, Holder holder, BudgetState budget) {
    long uncovered = budget.consume(holder.id(), tokens, !holder.isOpen());
    counters.add(DecisionCounter.TOKENS_OVERDRAWN, uncovered);
  }

  private long replace(
      AttemptSettled record, Holder holder, Estimate estimate, BudgetState budget) {
    estimates.remove(record.attempt());
    budget.cancelBilled(Math.max(0, estimate.billedTokens() - record.consumedTokens()));
    long change = record.consumedTokens() - estimate.tokens();
    if (change > 0) {
      consume(change, holder, budget);
    } else if (change < 0) {
      boolean released = holder.phase() == Holder.Phase.RELEASED;
      budget.credit(released ? null : holder.id(), -change, !holder.isOpen());
    }
    return change;
  }

  private void retainEstimate(Estimate estimate) {
    estimates.put(estimate.attempt(), estimate);
    if (estimates.size() > limits.maxEstimates()) {
      Iterator<Estimate> oldest = estimates.values().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private boolean bill(AttemptSettled record, BudgetState budget) {
    if (!record.billed()) {
      return false;
    }
    long issuedAt = record.key().issuedAtMillis().orElse(record.issuedAtMillis());
    if (billedKeys.contains(record.key()) && limits.isEnabled(Guard.BILL_MEMORY)) {
      counters.add(DecisionCounter.BILLS_DUPLICATE, 1);
      return false;
    }
    if (billedKeys.isExpired(record.key(), issuedAt) && limits.isEnabled(Guard.KEY_WATERMARK)) {
      counters.add(DecisionCounter.SETTLEMENTS_LATE, 1);
      return false;
    }
    billedKeys.put(record.key(), issuedAt, Boolean.TRUE);
    counters.add(DecisionCounter.REQUESTS_BILLED, 1);
    long billedTokens = budget.bill(record.consumedTokens());
    estimates.computeIfPresent(
        record.attempt(), (attempt, estimate) -> estimate.withBilled(billedTokens));
    return true;
  }

  /** Returns whether a key is known to have been billed. */
  boolean isBilled(RequestKey key) {
    return billedKeys.contains(key);
  }

  int billedKeyCount() {
    return billedKeys.size();
  }

  Image image() {
    List<BilledKey> keys =
        billedKeys.items().stream()
            .map(
                item ->
                    new BilledKey(item.key().customer(), item.key().token(), item.issuedAtMillis()))
            .toList();
    return new Image(List.copyOf(estimates.values()), keys, billedKeys.watermarks());
  }

  void restore(Image image) {
    image.estimates().forEach(estimate -> estimates.put(estimate.attempt(), estimate));
    billedKeys.restore(
        image.billedKeys().stream()
            .map(
                key ->
                    new RecentKeys.Item<>(
                        RequestKey.of(key.customer(), key.token()), key.issuedAt(), Boolean.TRUE))
            .toList(),
        image.watermarks());
  }

  /** An estimated settlement that an exact one may replace. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Estimate(AttemptId attempt, BudgetId budget, long tokens, long billedTokens) {

    Estimate withBilled(long newBilledTokens) {
      return new Estimate(attempt, budget, tokens, newBilledTokens);
    }
  }

  /** A billed key as stored in a snapshot. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record BilledKey(CustomerId customer, String token, long issuedAt) {}

  /** The estimates and billed keys in order of insertion, and the watermarks. */
  record Image(
      List<Estimate> estimates,
      List<BilledKey> billedKeys,
      List<RecentKeys.Watermark> watermarks) {}
}
