package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.state.AttemptId;
import io.snipeloom.state.Budget;
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
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures a local reservation with its settlement, and the application of one record to the
 * decision state.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(value = 1, jvmArgs = "-Xmx3g")
public class SpendBenchmark {
  private static final Incarnation ROUTER = Incarnation.of("router1#a");
  private static final Incarnation CONSOLE = Incarnation.of("console#a");
  private static final CustomerId CUSTOMER = CustomerId.of("c1");
  private static final RequestClassId CLASS = RequestClassId.of("class");
  private static final long TOKENS_PER_BUDGET = 1L << 40;
  private static final int EDITS_PER_CHANGE = 1000;

  /** The number of budgets. */
  @Param({"10", "1000", "39000", "390000"})
  public int budgets;

  private final DecisionState state = DecisionState.empty();
  private final List<BudgetId> budgetIds = new ArrayList<>();
  private BudgetHolder holder;
  private long sequence;
  private long batchSequence;

  /** Tops up every budget and claims its tokens. */
  @Setup
  public void prepare() {
    holder =
        BudgetHolder.create(
            ROUTER,
            budget -> SpendPolicy.TIGHT,
            records -> new CompletableFuture<>(),
            System::nanoTime,
            new MetricRegistry());
    addBudgets(state, budgetIds, budgets);
    for (BudgetId id : budgetIds) {
      var unused = holder.reserveBy(id, AttemptId.of(ROUTER, ++sequence), 1, Long.MAX_VALUE);
      List<DecisionEvent> events =
          applyRecord(DecisionRecord.ClaimRequested.forNeededTokens(ROUTER, id, TOKENS_PER_BUDGET));
      events.forEach(holder::onEvent);
    }
  }

  static void addBudgets(DecisionState state, List<BudgetId> budgetIds, int budgets) {
    List<ConfigurationEdit> edits = new ArrayList<>();
    edits.add(
        new ConfigurationEdit.PutCustomer(
            new Customer(CUSTOMER, "C", List.of(), null, SpendPolicy.TIGHT)));
    for (int i = 0; i < budgets; i++) {
      BudgetId id = BudgetId.of("budget-" + i);
      budgetIds.add(id);
      edits.add(new ConfigurationEdit.PutBudget(new Budget(id, CUSTOMER)));
      edits.add(
          new ConfigurationEdit.AddTopUp(
              new TopUp(TopUpId.of("top-up-" + i), id, TOKENS_PER_BUDGET)));
      if (edits.size() >= EDITS_PER_CHANGE || i == budgets - 1) {
        change(state, edits);
        edits.clear();
      }
    }
  }

  private static void change(DecisionState state, List<ConfigurationEdit> edits) {
    long offset = state.appliedOffset() + 1;
    DecisionRecord record =
        new DecisionRecord.ConfigurationChanged(
            new ConfigurationChange(state.configuration().offset(), "op", edits));
    var unused =
        state.apply(offset, new RecordBatch(CONSOLE, offset + 1, offset - 1, List.of(record)));
  }

  private List<DecisionEvent> applyRecord(DecisionRecord record) {
    long offset = state.appliedOffset() + 1;
    return state
        .apply(offset, new RecordBatch(ROUTER, ++batchSequence, offset - 1, List.of(record)))
        .events();
  }

  private BudgetId nextBudget() {
    sequence++;
    return budgetIds.get((int) ((sequence * 7919) % budgetIds.size()));
  }

  /** Reserves tokens of one budget and settles the reservation. */
  @Benchmark
  public Reservation reserveAndSettle() {
    BudgetId budget = nextBudget();
    AttemptId attempt = AttemptId.of(ROUTER, sequence);
    Reservation reservation = holder.reserve(budget, attempt, 1000);
    holder.settle(attempt, 0);
    return reservation;
  }

  /** Applies a billed settlement with a new request key. */
  @Benchmark
  public List<DecisionEvent> applySettlement() {
    BudgetId budget = nextBudget();
    return applyRecord(
        new DecisionRecord.AttemptSettled(
            AttemptId.of(ROUTER, sequence),
            RequestKey.of(CUSTOMER, "key-" + sequence),
            sequence,
            budget,
            CLASS,
            1,
            true,
            true));
  }

  /** Applies a claim of zero tokens. */
  @Benchmark
  public List<DecisionEvent> applyClaim() {
    return applyRecord(DecisionRecord.ClaimRequested.forNeededTokens(ROUTER, nextBudget(), 0));
  }

  /** Prints the memory used per budget and per billed key, then runs the benchmark. */
  public static void main(String[] arguments) throws RunnerException {
    for (int count : new int[] {10, 1000, 39_000, 390_000}) {
      printMemory(count);
    }
    new Runner(new OptionsBuilder().include(SpendBenchmark.class.getSimpleName()).build()).run();
  }

  private static void printMemory(int count) {
    DecisionState state = DecisionState.empty();
    long before = usedBytes();
    addBudgets(state, new ArrayList<>(), count);
    long after = usedBytes();
    for (int i = 1; i <= count; i++) {
      long offset = state.appliedOffset() + 1;
      RequestKey key = RequestKey.generate(CUSTOMER, i, new UUID(i, i));
      DecisionRecord settled =
          new DecisionRecord.AttemptSettled(
              AttemptId.of(ROUTER, i), key, i, BudgetId.of("budget-0"), CLASS, 1, true, true);
      DecisionRecord claim =
          DecisionRecord.ClaimRequested.forNeededTokens(ROUTER, BudgetId.of("budget-0"), 1);
      var unused =
          state.apply(offset, new RecordBatch(ROUTER, i, offset - 1, List.of(claim, settled)));
    }
    long withKeys = usedBytes();
    int snapshot = state.snapshot().length;
    System.out.printf(
        "budgets and keys=%d bytes per budget=%d bytes per billed key=%d snapshot bytes=%d%n",
        count, (after - before) / count, (withKeys - after) / count, snapshot);
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
