package io.snipeloom.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A log of batches that are encoded, decoded and applied to a decision state. The state is audited
 * after each batch.
 */
final class TestDecisionLog {
  static final BudgetId BUDGET = BudgetId.of("b1");
  static final CustomerId CUSTOMER = CustomerId.of("c1");
  static final RequestClassId CLASS = RequestClassId.of("draft");
  static final Incarnation ROUTER = Incarnation.of("router1#a");
  static final Incarnation OTHER = Incarnation.of("router2#a");
  static final Incarnation SIDECAR = Incarnation.of("sidecar1#a");

  private final Map<Incarnation, Long> sequences = new HashMap<>();
  private final DecisionLimits limits;
  private DecisionState state;
  private long nextOffset;

  TestDecisionLog(DecisionLimits limits) {
    this.limits = limits;
    this.state = DecisionState.empty(limits);
  }

  static TestDecisionLog create() {
    return new TestDecisionLog(DecisionLimits.DEFAULT);
  }

  DecisionState state() {
    return state;
  }

  long nextOffset() {
    return nextOffset;
  }

  BudgetAccount account() {
    return state.budget(BUDGET).orElseThrow();
  }

  /** Appends a batch with the next sequence number of the writer and returns the events. */
  List<DecisionEvent> append(Incarnation writer, DecisionRecord... records) {
    long sequence = sequences.merge(writer, 1L, Long::sum);
    return append(new RecordBatch(writer, sequence, nextOffset - 1, List.of(records)));
  }

  List<DecisionEvent> append(RecordBatch batch) {
    RecordBatch decoded = RecordCodec.decode(RecordCodec.encode(batch));
    List<DecisionEvent> events = state.apply(nextOffset, decoded).events();
    nextOffset++;
    state.audit();
    return events;
  }

  /** Replaces the state with one that is restored from its snapshot. */
  void restoreFromSnapshot() {
    state = DecisionState.restore(state.snapshot(), limits);
  }

  /** Creates the customer and the budget if needed and adds a top-up. */
  TestDecisionLog topUp(String id, long tokens) {
    append(
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

  TestDecisionLog join(Incarnation sidecar) {
    append(sidecar, new DecisionRecord.SidecarJoined(sidecar, UpstreamId.of("engines")));
    return this;
  }

  TestDecisionLog claim(Incarnation holder, long tokens) {
    append(holder, DecisionRecord.ClaimRequested.forNeededTokens(holder, BUDGET, tokens));
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
