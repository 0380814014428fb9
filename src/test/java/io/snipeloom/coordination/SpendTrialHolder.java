package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionEvent.ClaimGranted;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.SpendPolicy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/** A strategy for holding tokens at one router, as driven by the spend trial. */
interface SpendTrialHolder {

  /** Tries to reserve tokens; after a failure the trial tries again until the request times out. */
  boolean reserve(AttemptId attempt, long tokens);

  /** Ends a reservation of which some tokens were consumed. */
  void settle(AttemptId attempt, long consumed);

  /** Handles an event read from the log. */
  void onEvent(DecisionEvent event);

  /** Does periodic work; called once per step of the simulation. */
  void step();

  /** The strategies that the trial compares. */
  enum Strategy {
    TIGHT,
    AVAILABLE,
    STATIC_SPLIT,
    CLAIM_PER_REQUEST,
    NO_RETURNS;

    SpendTrialHolder create(
        Incarnation id, BudgetId budget, int holders, RecordSink sink, LongSupplier clock) {
      return switch (this) {
        case TIGHT -> new Adaptive(id, budget, SpendPolicy.TIGHT, sink, clock);
        case AVAILABLE -> new Adaptive(id, budget, SpendPolicy.AVAILABLE, sink, clock);
        case STATIC_SPLIT -> new StaticSplit(id, budget, holders, sink);
        case CLAIM_PER_REQUEST -> new ClaimPerRequest(id, budget, sink);
        case NO_RETURNS -> new NoReturns(id, budget, sink);
      };
    }
  }

  /** The budget holder that routers use, with a spend policy. */
  final class Adaptive implements SpendTrialHolder {
    private final BudgetId budget;
    private final BudgetHolder holder;

    Adaptive(
        Incarnation id, BudgetId budget, SpendPolicy policy, RecordSink sink, LongSupplier clock) {
      this.budget = budget;
      this.holder = BudgetHolder.create(id, any -> policy, sink, clock, new MetricRegistry());
    }

    @Override
    public boolean reserve(AttemptId attempt, long tokens) {
      try {
        holder.reserve(budget, attempt, tokens);
        return true;
      } catch (SnipeloomException e) {
        return false;
      }
    }

    @Override
    public void settle(AttemptId attempt, long consumed) {
      holder.settle(attempt, consumed);
    }

    @Override
    public void onEvent(DecisionEvent event) {
      holder.onEvent(event);
    }

    @Override
    public void step() {
      holder.step();
    }
  }

  /**
   * Base of the baseline strategies: the tokens granted by the log and whether a claim is pending.
   */
  abstract class Baseline implements SpendTrialHolder {
    final Incarnation id;
    final BudgetId budget;
    final RecordSink sink;
    final Map<AttemptId, Long> reserved = new HashMap<>();
    long remaining;
    boolean claimPending;

    Baseline(Incarnation id, BudgetId budget, RecordSink sink) {
      this.id = id;
      this.budget = budget;
      this.sink = sink;
    }

    final void claim(long tokens) {
      if (!claimPending) {
        claimPending = true;
        var unused =
            sink.append(List.of(DecisionRecord.ClaimRequested.forNeededTokens(id, budget, tokens)));
      }
    }

    @Override
    public boolean reserve(AttemptId attempt, long tokens) {
      if (remaining < tokens) {
        return false;
      }
      remaining -= tokens;
      reserved.put(attempt, tokens);
      return true;
    }

    @Override
    public void settle(AttemptId attempt, long consumed) {
      remaining += reserved.remove(attempt) - consumed;
    }

    @Override
    public void onEvent(DecisionEvent event) {
      if (event instanceof ClaimGranted granted && granted.holder().equals(id)) {
        remaining += granted.granted();
        claimPending = false;
      }
    }

    @Override
    public void step() {}
  }

  /** Each holder claims an equal share of every top-up and keeps it. */
  final class StaticSplit extends Baseline {
    private final int holders;

    StaticSplit(Incarnation id, BudgetId budget, int holders, RecordSink sink) {
      super(id, budget, sink);
      this.holders = holders;
    }

    @Override
    public void onEvent(DecisionEvent event) {
      super.onEvent(event);
      if (event instanceof DecisionEvent.ToppedUp toppedUp) {
        claimPending = false;
        claim(toppedUp.topUp().tokens() / holders);
      }
    }
  }

  /** Each request claims the tokens that it reserves and returns those that it did not consume. */
  final class ClaimPerRequest extends Baseline {
    private long unmetTokens;

    ClaimPerRequest(Incarnation id, BudgetId budget, RecordSink sink) {
      super(id, budget, sink);
    }

    @Override
    public boolean reserve(AttemptId attempt, long tokens) {
      boolean success = super.reserve(attempt, tokens);
      if (!success) {
        unmetTokens += tokens;
      }
      return success;
    }

    @Override
    public void settle(AttemptId attempt, long consumed) {
      long unusedTokens = reserved.remove(attempt) - consumed;
      var unused = sink.append(List.of(new DecisionRecord.ClaimReturned(id, budget, unusedTokens)));
    }

    @Override
    public void step() {
      if (unmetTokens > remaining) {
        claim(unmetTokens - remaining);
      }
      unmetTokens = 0;
    }
  }

  /** Claims tokens as the tight policy does but never returns any. */
  final class NoReturns extends Baseline {
    private long pool;

    NoReturns(Incarnation id, BudgetId budget, RecordSink sink) {
      super(id, budget, sink);
    }

    @Override
    public boolean reserve(AttemptId attempt, long tokens) {
      boolean success = super.reserve(attempt, tokens);
      if (!success) {
        claim(Math.max(tokens, pool / SpendPolicy.TIGHT.poolDivisor()));
      }
      return success;
    }

    @Override
    public void onEvent(DecisionEvent event) {
      super.onEvent(event);
      if (event instanceof ClaimGranted granted) {
        pool = granted.level().pool();
      } else if (event instanceof DecisionEvent.ToppedUp toppedUp) {
        pool = toppedUp.level().pool();
      }
    }
  }
}
