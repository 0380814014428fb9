package io.snipeloom.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Feeds a decision state with batches, each encoded and decoded on the way. */
final class DecisionLog {
  static final BudgetId BUDGET = BudgetId.of("b1");
  static final CustomerId CUSTOMER = CustomerId.of("c1");
  static final RequestClassId CLASS = RequestClassId.of("draft");
  static final Incarnation ROUTER = Incarnation.of("router1#a");
  static final Incarnation OTHER = Incarnation.of("router2#a");
  static final Incarnation SIDECAR = Incarnation.of("sidecar1#a");

  private final Map<Incarnation, Long> sequences = new HashMap<>();
  private final DecisionLimits limits;
  private DecisionState state;
  private long next;

  DecisionLog(DecisionLimits limits) {
    this.limits = limits;
    this.state = DecisionState.empty(limits);
  }

  static DecisionLog create() {
    return new DecisionLog(DecisionLimits.DEFAULT);
  }

  DecisionState state() {
    return state;
  }

  long next() {
    return next;
  }

  BudgetAccount account() {
    return state.budget(BUDGET).orElseThrow();
  }

  List<DecisionEvent> write(Incarnation writer, DecisionRecord... records) {
    long sequence = sequences.merge(writer, 1L, Long::sum);
    return write(new RecordBatch(writer, sequence, next - 1, List.of(records)));
  }

  List<DecisionEvent> write(RecordBatch batch) {
    RecordBatch decoded = RecordCodec.decode(RecordCodec.encode(batch));
    List<DecisionEvent> events = state.apply(next, decoded).events();
    next++;
    state.audit();
    return events;
  }

  /** Replaces the state by one restored from its snapshot. */
  void reload() {
    state = DecisionState.restore(state.snapshot(), limits);
  }

  DecisionLog topUp(String id, long tokens) {
    write(
        Incarnation.of("console#a"),
        new DecisionRecord.ConfigurationChanged(
            new ConfigurationChange(
                state.configuration().offset(),
                "op",
                List.of(
                    new ConfigurationEdit.PutCustomer(
                        new Customer(CUSTOMER, "C", List.of(), null, SpendPolicy.TIGHT)),
                    new ConfigurationEdit.PutBudget(new Budget(BUDGET, CUSTOMER)),
                    new ConfigurationEdit.AddTopUp(new TopUp(TopUpId.of(id), BUDGET, tokens))))));
    return this;
  }

  DecisionLog join(Incarnation sidecar) {
    write(sidecar, new DecisionRecord.SidecarJoined(sidecar, UpstreamId.of("engines")));
    return this;
  }

  DecisionLog claim(Incarnation holder, long tokens) {
    write(holder, DecisionRecord.ClaimRequested.forNeededTokens(holder, BUDGET, tokens));
    return this;
  }

  static RequestKey key(String token) {
    return RequestKey.of(CUSTOMER, token);
  }

  static DecisionRecord.AttemptSettled settled(
      Incarnation holder, long sequence, String key, long tokens, boolean exact, boolean billed) {
    return new DecisionRecord.AttemptSettled(
        AttemptId.of(holder, sequence), key(key), sequence, BUDGET, CLASS, tokens, exact, billed);
  }
}
