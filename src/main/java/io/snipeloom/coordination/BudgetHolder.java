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
 * Holds the budget tokens claimed by one router and reserves them for attempts without a round trip
 * to the log.
 *
 * <p>Before a router sends an attempt, it reserves the most tokens that the attempt may consume;
 * when the attempt ends, the router settles the tokens consumed. The holder claims tokens through
 * the log before they are needed and returns those that it does not need. It spends only tokens
 * that the log has granted to it, so that a network partition, a paused process or a lost message
 * cannot overspend a budget.
 *
 * <p>Thread-safe; budgets are distributed over shards, each with its own lock. The owner must pass
 * every event of the decision stream to {@link #onEvent} in order and call {@link #step} several
 * times a second.
 */
public final class BudgetHolder {
  /** The delay after which a caller is told to retry while tokens are being claimed. */
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
   * @param self the incarnation of this router, not used by an earlier holder
   * @param policies the spend policy of each budget
   * @param sink appends claims and returns to the decision stream
   * @param nanoClock a monotonic clock in nanoseconds
   * @param metrics the registry for the counters of the holder
   */
  public static BudgetHolder create(
      Incarnation self,
      Function<BudgetId, SpendPolicy> policies,
      RecordSink sink,
      LongSupplier nanoClock,
      MetricRegistry metrics) {
    return new BudgetHolder(self, policies, sink, nanoClock, SpendMetrics.of(metrics));
  }

  /**
   * Reserves tokens for an attempt immediately, or starts a claim and throws.
   *
   * @param budget the budget that pays
   * @param attempt the attempt, without an earlier reservation
   * @param tokens the most tokens that the attempt may consume
   * @throws SnipeloomException with {@link ErrorCode#BUDGET_EXHAUSTED} if the pool and all holders
   *     together have too few tokens, {@link ErrorCode#BUDGET_UNAVAILABLE} and a retry delay if a
   *     claim may still obtain tokens, {@link ErrorCode#LEAVING} after {@link #stop}, or {@link
   *     ErrorCode#FENCED} if the log closed this holder
   */
  public Reservation reserve(BudgetId budget, AttemptId attempt, long tokens) {
    requireOpen();
    Reservation reservation = shardOf(budget).reserve(budget, attempt, tokens);
    budgetsByAttempt.put(attempt, budget);
    return reservation;
  }

  /**
   * Reserves tokens for an attempt and waits for a claim if too few tokens are held.
   *
   * @param budget the budget that pays
   * @param attempt the attempt, without an earlier reservation
   * @param tokens the most tokens that the attempt may consume
   * @param deadlineNanos the time on the holder's clock, in nanoseconds, at which the wait times
   *     out
   * @return the reservation; completes exceptionally with the errors of {@link #reserve}
   */
  public CompletionStage<Reservation> reserveBy(
      BudgetId budget, AttemptId attempt, long tokens, long deadlineNanos) {
    try {
      requireOpen();
      budgetsByAttempt.put(attempt, budget);
      return shardOf(budget)
          .reserveBy(budget, attempt, tokens, deadlineNanos)
          .whenComplete((reservation, error) -> removeIfRefused(attempt, error));
    } catch (SnipeloomException e) {
      budgetsByAttempt.remove(attempt);
      return CompletableFuture.failedFuture(e);
    }
  }

  private void removeIfRefused(AttemptId attempt, Throwable error) {
    if (error != null) {
      budgetsByAttempt.remove(attempt);
    }
  }

  private void requireOpen() {
    if (phase == Phase.FENCED) {
      throw countRefusal(refusal(ErrorCode.FENCED, "this budget holder was closed"));
    }
    if (phase == Phase.STOPPED) {
      throw countRefusal(
          refusal(ErrorCode.LEAVING, "this router is leaving and accepts no new requests"));
    }
  }

  private SnipeloomException countRefusal(SnipeloomException refusal) {
    metrics.refused(refusal.code());
    return refusal;
  }

  private SnipeloomException refusal(ErrorCode code, String message) {
    return SnipeloomException.of(code, message).withOrigin("reserve", self.value());
  }

  /**
   * Settles the reservation of an attempt. Does nothing if the attempt has none.
   *
   * @param consumedTokens the tokens consumed; 0 if the attempt did not run
   */
  public void settle(AttemptId attempt, long consumedTokens) {
    BudgetId budget = budgetsByAttempt.remove(attempt);
    if (budget != null) {
      shardOf(budget).settle(budget, attempt, consumedTokens);
    }
  }

  /** Applies an event of the decision stream. */
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
      shardOf(toppedUp.level().budget()).onLevelChanged(toppedUp.level());
    } else if (event instanceof DecisionEvent.SettlementApplied settlement) {
      shardOf(settlement.level().budget()).onSettled(settlement);
    } else if (event instanceof DecisionEvent.HolderReleased released) {
      released.tokens().forEach((budget, tokens) -> shardOf(budget).onReleased(budget, tokens));
    }
  }

  /**
   * Closes this holder permanently: it no longer reserves, claims or returns tokens. A router calls
   * this after its replica was reloaded from a snapshot, because the event that closed this holder
   * may be among those that the snapshot skipped. The router then drops all records not yet
   * appended except settlements and outcomes, appends {@code HolderClosed} and continues with a new
   * incarnation; attempts in flight are still settled under the old one.
   */
  public void fence() {
    phase = Phase.FENCED;
    for (HolderShard shard : shards) {
      shard.close(refusal(ErrorCode.FENCED, "this budget holder was closed"));
    }
  }

  /**
   * Claims tokens before they are needed, returns surplus tokens and fails waiting reservations
   * whose deadline has passed.
   */
  public void step() {
    if (phase == Phase.FENCED) {
      return;
    }
    for (HolderShard shard : shards) {
      shard.step();
    }
  }

  /**
   * Refuses new reservations and returns all unreserved tokens, both now and as attempts settle.
   */
  public void stop() {
    if (phase == Phase.OPEN) {
      phase = Phase.STOPPED;
      for (HolderShard shard : shards) {
        shard.stop(
            refusal(ErrorCode.LEAVING, "this router is leaving and accepts no new requests"));
      }
    }
  }

  /**
   * Returns whether, after {@link #stop}, every attempt is settled and every token is returned.
   *
   * @return true if the holder can be closed without stranding tokens
   */
  public boolean isDrained() {
    for (HolderShard shard : shards) {
      if (!shard.isDrained()) {
        return false;
      }
    }
    return true;
  }

  /** Returns the tokens available for new reservations. */
  public long remaining(BudgetId budget) {
    return shardOf(budget).remaining(budget);
  }

  /** Returns the tokens reserved for attempts that are not settled yet. */
  public long reserved(BudgetId budget) {
    return shardOf(budget).reserved(budget);
  }

  private HolderShard shardOf(BudgetId budget) {
    return shards[(budget.hashCode() * HASH_MULTIPLIER) >>> HASH_SHIFT_BITS];
  }

  /** The lifecycle phases of a holder. */
  private enum Phase {
    OPEN,
    STOPPED,
    FENCED
  }
}
