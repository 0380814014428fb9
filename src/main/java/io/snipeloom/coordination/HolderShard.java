package io.snipeloom.coordination;

import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionEvent.BudgetLevel;
import io.snipeloom.state.DecisionEvent.SettlementEffect;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.SpendPolicy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * One shard of the budgets of a holder. Thread-safe: the shard's monitor guards the budgets;
 * records are appended and waiting reservations completed after the lock is released.
 */
final class HolderShard {
  private static final long NEED_RETENTION_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long CLAIM_RETRY_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long RETURN_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

  private final Incarnation self;
  private final Function<BudgetId, SpendPolicy> policies;
  private final RecordSink sink;
  private final LongSupplier nanoClock;
  private final SpendMetrics metrics;
  private final Map<BudgetId, HeldBudget> budgets = new HashMap<>();
  private boolean stopped;
  private boolean closed;

  HolderShard(
      Incarnation self,
      Function<BudgetId, SpendPolicy> policies,
      RecordSink sink,
      LongSupplier nanoClock,
      SpendMetrics metrics) {
    this.self = self;
    this.policies = policies;
    this.sink = sink;
    this.nanoClock = nanoClock;
    this.metrics = metrics;
  }

  Reservation reserve(BudgetId budget, AttemptId attempt, long tokens) {
    Effects effects = new Effects();
    SnipeloomException refusal = null;
    synchronized (this) {
      HeldBudget held = getOrCreate(budget);
      if (!held.waiters().isEmpty() || !held.tryReserve(attempt, tokens, nanoClock.getAsLong())) {
        refusal = refusal(held, tokens);
        claimIfNeeded(held, effects);
      }
    }
    effects.run();
    if (refusal != null) {
      metrics.refused(refusal.code());
      throw refusal;
    }
    metrics.reserved().inc();
    return new Reservation(budget, attempt, tokens);
  }

  CompletableFuture<Reservation> reserveBy(
      BudgetId budget, AttemptId attempt, long tokens, long deadlineNanos) {
    Effects effects = new Effects();
    CompletableFuture<Reservation> result = new CompletableFuture<>();
    synchronized (this) {
      HeldBudget held = getOrCreate(budget);
      held.waiters().add(new ReservationWaiter(attempt, tokens, deadlineNanos, result));
      serveWaiters(held, effects);
      claimIfNeeded(held, effects);
    }
    effects.run();
    return result;
  }

  void settle(BudgetId budget, AttemptId attempt, long consumed) {
    change(
        budget,
        (held, effects) -> {
          long excessBefore = held.excess();
          held.settle(attempt, consumed, nanoClock.getAsLong());
          metrics.excessTokens().inc(held.excess() - excessBefore);
        });
  }

  void onGranted(DecisionEvent.ClaimGranted grant) {
    change(
        grant.level().budget(),
        (held, effects) -> {
          if (grant.holder().equals(self)) {
            held.addGranted(grant);
          }
          held.updateLevel(grant.level());
          if (grant.shortfall() > 0) {
            held.recordScarcity(nanoClock.getAsLong());
          }
          if (!grant.holder().equals(self) && grant.shortfall() > 0) {
            metrics.recalls().inc();
            returnTokens(held, held.tokensForRecall(grant.shortfall()), effects);
          }
        });
  }

  void onRefused(DecisionEvent.ClaimRefused refusal) {
    if (refusal.holder().equals(self)) {
      change(refusal.budget(), (held, effects) -> held.claimRefused());
    }
  }

  void onReturned(DecisionEvent.ReturnApplied returned) {
    change(
        returned.level().budget(),
        (held, effects) -> {
          if (returned.holder().equals(self)) {
            held.confirmReturned(returned.tokens());
          }
          held.updateLevel(returned.level());
        });
  }

  void onLevelChanged(BudgetLevel level) {
    change(level.budget(), (held, effects) -> held.updateLevel(level));
  }

  void onReleased(BudgetId budget, long tokens) {
    change(budget, (held, effects) -> held.addToPool(tokens));
  }

  void onSettled(DecisionEvent.SettlementApplied settlement) {
    boolean changesBalance =
        settlement.effect() == SettlementEffect.COUNTED
            || settlement.effect() == SettlementEffect.REPLACED;
    change(
        settlement.level().budget(),
        (held, effects) -> {
          if (changesBalance && settlement.attempt().holder().equals(self)) {
            held.confirm(settlement, nanoClock.getAsLong());
          }
          held.updateLevel(settlement.level());
        });
  }

  /**
   * Changes a held budget, then completes waiting reservations and claims or returns tokens as
   * needed. Does nothing if the budget is not held.
   */
  private void change(BudgetId budget, Change change) {
    Effects effects = new Effects();
    synchronized (this) {
      HeldBudget held = budgets.get(budget);
      if (held == null) {
        return;
      }
      change.apply(held, effects);
      rebalance(held, effects);
    }
    effects.run();
  }

  private void rebalance(HeldBudget held, Effects effects) {
    if (closed) {
      return;
    }
    serveWaiters(held, effects);
    if (stopped) {
      returnTokens(held, held.remaining(), effects);
    } else if (held.hasUnmetNeed()) {
      claimIfNeeded(held, effects);
    }
  }

  void step() {
    Effects effects = new Effects();
    synchronized (this) {
      long now = nanoClock.getAsLong();
      Iterator<HeldBudget> all = budgets.values().iterator();
      while (all.hasNext()) {
        HeldBudget held = all.next();
        expireWaiters(held, now, effects);
        step(held, now, effects);
        if (held.isEmpty()) {
          all.remove();
        }
      }
    }
    effects.run();
  }

  private void step(HeldBudget held, long now, Effects effects) {
    SpendPolicy policy = policies.apply(held.id());
    held.updateRate(policy, now);
    rebalance(held, effects);
    if (!stopped && !closed) {
      long idleNanos = policy.horizon().toNanos();
      returnTokens(held, held.surplus(policy, now, idleNanos, RETURN_INTERVAL_NANOS), effects);
      claimIfNeeded(held, effects);
    }
  }

  private void serveWaiters(HeldBudget held, Effects effects) {
    while (!held.waiters().isEmpty()) {
      ReservationWaiter waiter = held.waiters().peek();
      if (held.tryReserve(waiter.attempt(), waiter.tokens(), nanoClock.getAsLong())) {
        metrics.reserved().inc();
        Reservation granted = new Reservation(held.id(), waiter.attempt(), waiter.tokens());
        effects.add(() -> waiter.result().complete(granted));
      } else if (held.isExhaustedFor(waiter.tokens())) {
        fail(waiter, refusal(held, waiter.tokens()), effects);
      } else {
        return;
      }
      held.waiters().remove();
    }
  }

  private void expireWaiters(HeldBudget held, long now, Effects effects) {
    Iterator<ReservationWaiter> waiters = held.waiters().iterator();
    while (waiters.hasNext()) {
      ReservationWaiter waiter = waiters.next();
      if (now - waiter.deadlineNanos() >= 0) {
        waiters.remove();
        fail(waiter, refusal(held, waiter.tokens()), effects);
      }
    }
  }

  private void fail(ReservationWaiter waiter, SnipeloomException error, Effects effects) {
    metrics.refused(error.code());
    effects.add(() -> waiter.result().completeExceptionally(error));
  }

  private SnipeloomException refusal(HeldBudget held, long tokens) {
    if (held.isExhaustedFor(tokens)) {
      return SnipeloomException.of(
              ErrorCode.BUDGET_EXHAUSTED,
              "budget " + held.id() + " has too few tokens left for this request")
          .withOrigin("reserve", self.value());
    }
    return SnipeloomException.of(
            ErrorCode.BUDGET_UNAVAILABLE,
            "tokens of budget " + held.id() + " are being claimed; retry later")
        .withOrigin("reserve", self.value())
        .withRetryAfter(BudgetHolder.RETRY_AFTER);
  }

  private void claimIfNeeded(HeldBudget held, Effects effects) {
    long now = nanoClock.getAsLong();
    SpendPolicy policy = policies.apply(held.id());
    long tokens = held.startClaim(policy, now, NEED_RETENTION_NANOS, CLAIM_RETRY_NANOS);
    if (tokens > 0) {
      metrics.claims().inc();
      long missing = Math.min(tokens, held.missing());
      effects.add(new DecisionRecord.ClaimRequested(self, held.id(), tokens, missing));
    }
  }

  private void returnTokens(HeldBudget held, long tokens, Effects effects) {
    long returned = closed ? 0 : held.takeForReturn(tokens, nanoClock.getAsLong());
    if (returned > 0) {
      metrics.returns().inc();
      effects.add(new DecisionRecord.ClaimReturned(self, held.id(), returned));
    }
  }

  void stop(SnipeloomException reason) {
    Effects effects = new Effects();
    synchronized (this) {
      stopped = true;
      for (HeldBudget held : budgets.values()) {
        failAll(held, reason, effects);
        returnTokens(held, held.remaining(), effects);
      }
    }
    effects.run();
  }

  void close(SnipeloomException reason) {
    Effects effects = new Effects();
    synchronized (this) {
      closed = true;
      budgets.values().forEach(held -> failAll(held, reason, effects));
    }
    effects.run();
  }

  private void failAll(HeldBudget held, SnipeloomException reason, Effects effects) {
    held.waiters().forEach(waiter -> fail(waiter, reason, effects));
    held.waiters().clear();
  }

  synchronized boolean isDrained() {
    return budgets.values().stream().allMatch(HeldBudget::isDrained);
  }

  synchronized long remaining(BudgetId budget) {
    HeldBudget held = budgets.get(budget);
    return held == null ? 0 : held.remaining();
  }

  synchronized long reserved(BudgetId budget) {
    HeldBudget held = budgets.get(budget);
    return held == null ? 0 : held.reserved();
  }

  private HeldBudget getOrCreate(BudgetId budget) {
    if (closed || stopped) {
      ErrorCode code = closed ? ErrorCode.FENCED : ErrorCode.LEAVING;
      throw SnipeloomException.of(code, "this budget holder is closed")
          .withOrigin("reserve", self.value());
    }
    return budgets.computeIfAbsent(budget, id -> new HeldBudget(id, nanoClock.getAsLong()));
  }

  /** A change of one budget, made under the lock of the shard. */
  private interface Change {
    void apply(HeldBudget held, Effects effects);
  }

  /** Records to append and callbacks to run after the lock is released. */
  private final class Effects {
    private final List<DecisionRecord> records = new ArrayList<>(2);
    private final List<Runnable> completions = new ArrayList<>(2);

    private void add(DecisionRecord record) {
      records.add(record);
    }

    private void add(Runnable completion) {
      completions.add(completion);
    }

    private void run() {
      if (!records.isEmpty()) {
        var unused = sink.append(records);
      }
      completions.forEach(Runnable::run);
    }
  }
}
