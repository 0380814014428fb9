package io.snipeloom.coordination;

import io.snipeloom.state.ApplyResult;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Budget;
import io.snipeloom.state.BudgetAccount;
import io.snipeloom.state.BudgetId;
import io.snipeloom.state.ConfigurationChange;
import io.snipeloom.state.ConfigurationEdit;
import io.snipeloom.state.Customer;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.DecisionEvent;
import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.DecisionState;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.RecordBatch;
import io.snipeloom.state.RequestClassId;
import io.snipeloom.state.RequestKey;
import io.snipeloom.state.SpendPolicy;
import io.snipeloom.state.TopUp;
import io.snipeloom.state.TopUpId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates routers of three regions that serve requests from one budget, in steps of 100 ms of
 * virtual time. A record is appended to the log in the step after its creation; connected routers
 * read it in the same step.
 */
final class SpendTrialSimulation {
  static final long STEP_MILLIS = 100;
  static final long RESERVED_TOKENS_PER_REQUEST = 2000;

  private static final int REGIONS = 3;
  private static final double[] REGION_SHARES = {0.7, 0.2, 0.1};
  private static final double REQUESTS_PER_SECOND = 6;
  private static final long RESERVATION_TIMEOUT_MILLIS = 2000;
  private static final long MIN_RUN_MILLIS = 1000;
  private static final long MAX_RUN_MILLIS = 6000;
  private static final BudgetId BUDGET = BudgetId.of("b1");
  private static final CustomerId CUSTOMER = CustomerId.of("c1");
  private static final RequestClassId CLASS = RequestClassId.of("class");

  private final SplittableRandom random;
  private final DecisionState state = DecisionState.empty();
  private final List<Router> routers = new ArrayList<>();
  private final Incarnation console = Incarnation.of("console#1");
  private final SpendTrialResult result = new SpendTrialResult();
  private long nowMillis;
  private long toppedUp;
  private long consumed;
  private long reserved;
  private long consoleSequence;

  SpendTrialSimulation(long seed, SpendTrialHolder.Strategy strategy, int holdersPerRegion) {
    this.random = new SplittableRandom(seed);
    int holders = REGIONS * holdersPerRegion;
    for (int i = 0; i < holders; i++) {
      routers.add(new Router(strategy, i, i % REGIONS, holders));
    }
    change(
        List.of(
            new ConfigurationEdit.PutCustomer(
                new Customer(CUSTOMER, "C", List.of(), null, SpendPolicy.TIGHT)),
            new ConfigurationEdit.PutBudget(new Budget(BUDGET, CUSTOMER))));
  }

  SpendTrialResult result() {
    BudgetAccount account = state.budget(BUDGET).orElseThrow();
    result.unspent = toppedUp - consumed - reserved;
    result.overspent = Math.max(0, consumed - toppedUp);
    result.pool = account.pool();
    return result;
  }

  /** Records the tokens held per router, which a crash of the router would strand. */
  void recordHeld() {
    result.heldPerRouter = state.budget(BUDGET).orElseThrow().held() / routers.size();
  }

  void topUp(String id, long tokens) {
    toppedUp += tokens;
    change(List.of(new ConfigurationEdit.AddTopUp(new TopUp(TopUpId.of(id), BUDGET, tokens))));
  }

  private void change(List<ConfigurationEdit> edits) {
    consoleSequence++;
    long base = state.configuration().offset();
    apply(
        new RecordBatch(
            console,
            consoleSequence,
            state.appliedOffset(),
            List.of(
                new DecisionRecord.ConfigurationChanged(
                    new ConfigurationChange(base, "op", edits)))));
  }

  void setPartitioned(int region, boolean partitioned) {
    routers.stream()
        .filter(router -> router.region == region)
        .forEach(router -> router.partitioned = partitioned);
  }

  void run(long millis) {
    long end = nowMillis + millis;
    while (nowMillis < end) {
      step();
    }
  }

  /** Runs until a request is refused for the first time. */
  void runUntilRefused(long maxMillis) {
    while (result.refused == 0 && nowMillis < maxMillis) {
      step();
    }
  }

  private void step() {
    nowMillis += STEP_MILLIS;
    routers.forEach(Router::appendRecords);
    routers.forEach(Router::step);
  }

  private void apply(RecordBatch batch) {
    result.appends++;
    ApplyResult applied = state.apply(state.appliedOffset() + 1, batch);
    routers.forEach(router -> router.inbox.addAll(applied.events()));
  }

  /** A router with its share of the requests of its region. */
  private final class Router {
    private final Incarnation id;
    private final int region;
    private final double requestsPerStep;
    private final SpendTrialHolder holder;
    private final Queue<DecisionEvent> inbox = new ArrayDeque<>();
    private final List<DecisionRecord> outbox = new ArrayList<>();
    private final List<Request> waiting = new ArrayList<>();
    private final List<Request> running = new ArrayList<>();
    private boolean partitioned;
    private long sequence;
    private long attempts;

    private Router(SpendTrialHolder.Strategy strategy, int number, int region, int holders) {
      this.id = Incarnation.of("router" + number + "#1");
      this.region = region;
      double share = REGION_SHARES[region] * REGIONS / holders;
      this.requestsPerStep = REQUESTS_PER_SECOND * share * STEP_MILLIS / 1000;
      this.holder = strategy.create(id, BUDGET, holders, this::append, () -> nowMillis * 1_000_000);
    }

    private CompletableFuture<Long> append(List<DecisionRecord> records) {
      outbox.addAll(records);
      return new CompletableFuture<>();
    }

    private void appendRecords() {
      if (!partitioned && !outbox.isEmpty()) {
        sequence++;
        List<DecisionRecord> records = List.copyOf(outbox);
        outbox.clear();
        apply(new RecordBatch(id, sequence, state.appliedOffset(), records));
      }
    }

    private void step() {
      while (!partitioned && !inbox.isEmpty()) {
        holder.onEvent(inbox.remove());
      }
      running.removeIf(this::finishIfDue);
      if (random.nextDouble() < requestsPerStep) {
        attempts++;
        result.requests++;
        waiting.add(
            new Request(AttemptId.of(id, attempts), nowMillis + RESERVATION_TIMEOUT_MILLIS, 0));
      }
      waiting.removeIf(this::startOrRefuse);
      holder.step();
    }

    private boolean startOrRefuse(Request request) {
      if (holder.reserve(request.attempt, RESERVED_TOKENS_PER_REQUEST)) {
        reserved += RESERVED_TOKENS_PER_REQUEST;
        long runMillis = MIN_RUN_MILLIS + random.nextLong(MAX_RUN_MILLIS - MIN_RUN_MILLIS);
        running.add(new Request(request.attempt, nowMillis + runMillis, 0));
        return true;
      }
      if (nowMillis < request.untilMillis) {
        return false;
      }
      result.countRefusal(toppedUp - consumed - reserved, consumed + reserved, toppedUp);
      return true;
    }

    private boolean finishIfDue(Request request) {
      if (nowMillis < request.untilMillis) {
        return false;
      }
      long tokens =
          RESERVED_TOKENS_PER_REQUEST / 5 + random.nextLong(RESERVED_TOKENS_PER_REQUEST * 4 / 5);
      reserved -= RESERVED_TOKENS_PER_REQUEST;
      consumed += tokens;
      holder.settle(request.attempt, tokens);
      RequestKey key = RequestKey.of(CUSTOMER, id.value() + "-" + request.attempt.sequence());
      outbox.add(
          new DecisionRecord.AttemptSettled(
              request.attempt, key, nowMillis, BUDGET, CLASS, tokens, true, true));
      return true;
    }
  }

  /**
   * A request that waits for tokens until its timeout or runs until its end, at {@code
   * untilMillis}.
   */
  private record Request(AttemptId attempt, long untilMillis, long tokens) {}
}
