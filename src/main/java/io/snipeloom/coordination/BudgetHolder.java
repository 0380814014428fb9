package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.SpendPolicy;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Holds tokens of budgets at one router and reserves them for attempts without asking the log.
 *
 * <p>A router reserves the upper bound of an attempt before it sends it, and settles what was
 * consumed. The holder claims from the log ahead of need and returns what it does not need. It
 * spends only what the log granted to it, so that no partition, pause or loss can overspend.
 *
 * <p>Thread-safe; budgets are spread over shards, each under its own lock. Feed it every event of
 * the decision stream in order, and call {@link #step} a few times a second.
 */
public final class BudgetHolder {
  /** How long a caller waits before another try when tokens are on their way. */
  public static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private static final int SHARDS = 64;
  private static final int HASH_MULTIPLIER = 0x9E3779B9;
  private static final int HASH_SHIFT_BITS = Integer.SIZE - 6;

  private final Incarnation self;
  private final HolderShard[] shards = new HolderShard[SHARDS];
  private final Map<AttemptId, BudgetId> budgetsByAttempt = new ConcurrentHashMap<>();
  private final SpendMetrics metrics;
  private volatile Phase phase = Phase.OPEN;

  private BudgetHolder(
      Incarnation self,
      Function<BudgetId, SpendPolicy> policies,
      RecordSink sink,
      LongSupplier nanoClock,
      SpendMetrics metrics) {
    this.self = self;
    this.metrics = metrics;
    for (int i = 0; i < SHARDS; i++) {
      shards[i] = new HolderShard(self, policies, sink, nanoClock, metrics);
    }
  }

  /**
   * Returns a holder without tokens.
   *
   * @param self the incarnation of this router, never used before
   * @param policies the spend policy of each budget
   * @param sink takes claims and returns for the decision stream
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics receives the counters
   * @return the holder
   */
  public static BudgetHolder create(
      Incarnation self,
      Function<BudgetId, SpendPolicy> policies,
      RecordSink sink,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    return new BudgetHolder(self, policies, sink, nanoClock, SpendMetrics.in(metrics));
  }

  /**
   * Reserves tokens for an attempt at once, or starts a claim and refuses.
   *
   * @param budget the budget that pays
   * @param attempt the attempt, never reserved for before
   * @param tokens the most tokens that the attempt may consume
   * @return the reservation
   * @throws SnipeloomException with {@link ErrorCode#BUDGET_EXHAUSTED} if no holder could return
   *     enough, {@link ErrorCode#BUDGET_UNAVAILABLE} and a time to come back if tokens may be on
   *     their way, {@link ErrorCode#LEAVING} after {@link #stop}, or {@link ErrorCode#FENCED} if
   *     the log closed this holder
   */
  public Reservation reserve(BudgetId budget, AttemptId attempt, long tokens) {
    checkOpen();
    Reservation reservation = shardOf(budget).reserve(budget, attempt, tokens);
    budgetsByAttempt.put(attempt, budget);
    return reservation;
  }

  /**
   * Reserves tokens for an attempt, waiting for a claim if need be.
   *
   * @param budget the budget that pays
   * @param attempt the attempt, never reserved for before
   * @param tokens the most tokens that the attempt may consume
   * @param deadlineNanos the time on the holder's clock at which the wait ends
   * @return the reservation, or a failure as of {@link #reserve}
   */
  public CompletionStage<Reservation> reserveBy(
      BudgetId budget, AttemptId attempt, long tokens, long deadlineNanos) {
    try {
      checkOpen();
      budgetsByAttempt.put(attempt, budget);
      return shardOf(budget)
          .reserveBy(budget, attempt, tokens, deadlineNanos)
          .whenComplete((reservation, error) -> forgetIfRefused(attempt, error));
    } catch (SnipeloomException e) {
      budgetsByAttempt.remove(attempt);
      return CompletableFuture.failedFuture(e);
    }
  }

  private void forgetIfRefused(AttemptId attempt, Throwable error) {
    if (error != null) {
      budgetsByAttempt.remove(attempt);
    }
  }

  private void checkOpen() {
    if (phase == Phase.FENCED) {
      throw counted(refusal(ErrorCode.FENCED, "this holder was closed"));
    }
    if (phase == Phase.STOPPED) {
      throw counted(refusal(ErrorCode.LEAVING, "this router takes no new work"));
    }
  }

  private SnipeloomException counted(SnipeloomException refusal) {
    metrics.refused(refusal.code());
    return refusal;
  }

  private SnipeloomException refusal(ErrorCode code, String message) {
    return SnipeloomException.of(code, message).withOrigin("reserve", self.value());
  }

  /**
   * Ends a reservation. Does nothing if the attempt has none.
   *
   * @param attempt the attempt
   * @param consumedTokens the tokens consumed; 0 if the attempt did not run
   */
  public void settle(AttemptId attempt, long consumedTokens) {
    BudgetId budget = budgetsByAttempt.remove(attempt);
    if (budget != null) {
      shardOf(budget).settle(budget, attempt, consumedTokens);
    }
  }

  /**
   * Takes an event of the decision stream.
   *
   * @param event the event
   */
  public void onEvent(DecisionEvent event) {
    if (event instanceof DecisionEvent.HolderClosed closed) {
      if (closed.holder().equals(self)) {
        fence();
      }
    } else if (event instanceof DecisionEvent.ClaimGranted grant) {
      shardOf(grant.level().budget()).onGranted(grant);
    } else if (event instanceof DecisionEvent.ClaimRefused refusal) {
      shardOf(refusal.budget()).onRefused(refusal);
    } else if (event instanceof DecisionEvent.ReturnApplied returned) {
      shardOf(returned.level().budget()).onReturned(returned);
    } else if (event instanceof DecisionEvent.ToppedUp toppedUp) {
      shardOf(toppedUp.level().budget()).onLevel(toppedUp.level());
    } else if (event instanceof DecisionEvent.SettlementApplied settlement) {
      shardOf(settlement.level().budget()).onSettled(settlement);
    } else if (event instanceof DecisionEvent.HolderReleased released) {
      released.tokens().forEach((budget, tokens) -> shardOf(budget).onReleased(budget, tokens));
    }
  }

  /**
   * Ends this holder for good: it reserves, claims and returns nothing more. A router calls it when
   * its replica was reloaded from a snapshot, since the closing of this holder may be among the
   * events that were passed over. It then drops all records not yet appended but settlements and
   * outcomes, writes {@code HolderClosed} and goes on with a new incarnation; attempts under way
   * are still settled under the old one.
   */
  public void fence() {
    phase = Phase.FENCED;
    for (HolderShard shard : shards) {
      shard.close(refusal(ErrorCode.FENCED, "this holder was closed"));
    }
  }

  /** Claims ahead of need, returns what is not needed and ends waits that are over. */
  public void step() {
    if (phase == Phase.FENCED) {
      return;
    }
    for (HolderShard shard : shards) {
      shard.step();
    }
  }

  /** Refuses new reservations and returns what is not reserved, now and as attempts settle. */
  public void stop() {
    if (phase == Phase.OPEN) {
      phase = Phase.STOPPED;
      for (HolderShard shard : shards) {
        shard.stop(refusal(ErrorCode.LEAVING, "this router takes no new work"));
      }
    }
  }

  /**
   * Returns whether every attempt is settled and every token returned, after {@link #stop}.
   *
   * @return true if the holder can be closed without a remainder
   */
  public boolean isDrained() {
    for (HolderShard shard : shards) {
      if (!shard.isDrained()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the tokens that can be reserved now.
   *
   * @param budget the budget
   * @return the tokens
   */
  public long remaining(BudgetId budget) {
    return shardOf(budget).remaining(budget);
  }

  /**
   * Returns the tokens reserved for attempts that are not settled.
   *
   * @param budget the budget
   * @return the tokens
   */
  public long reserved(BudgetId budget) {
    return shardOf(budget).reserved(budget);
  }

  private HolderShard shardOf(BudgetId budget) {
    return shards[(budget.hashCode() * HASH_MULTIPLIER) >>> HASH_SHIFT_BITS];
  }

  /** The life of a holder. */
  private enum Phase {
    OPEN,
    STOPPED,
    FENCED
  }
}
