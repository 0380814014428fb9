package io.snipeloom.state;

import java.util.ArrayList;
import java.util.List;

/** Decision states of a chosen size, with identifiers of the length that a large fleet has. */
final class StateSamples {
  static final Incarnation ROUTER = router(1);
  static final Incarnation SIDECAR = sidecar(1);
  private static final Incarnation OPERATOR = Incarnation.of("router-9999#3f9a2c1b");
  private static final int EDITS_PER_CHANGE = 4_000;
  private static final long TOKENS = 1_000_000_000L;
  private static final int KEY_FIRST = 0x10000000;

  private DecisionState state = DecisionState.empty();
  private long next;
  private long sequence;

  DecisionState state() {
    return state;
  }

  static Incarnation router(int number) {
    return Incarnation.of("router-%04d#3f9a2c1b".formatted(number));
  }

  static Incarnation sidecar(int number) {
    return Incarnation.of("sidecar-%04d#9b1c2d3e".formatted(number));
  }

  static BudgetId budget(int number) {
    return BudgetId.of("budget-%06d".formatted(number));
  }

  static CustomerId customer(int number) {
    return CustomerId.of("customer-%05d".formatted(number));
  }

  static RequestKey key(int number) {
    return RequestKey.of(
        customer(0), "%08x-d81c-7a3e-9b4f-c2d1e0f7a6b5".formatted(KEY_FIRST + number));
  }

  static DecisionRecord settlement(int number, int budget) {
    return new DecisionRecord.AttemptSettled(
        AttemptId.of(ROUTER, number + 1L),
        key(number),
        1_700_000_000_000L + number,
        budget(budget),
        RequestClassId.of("class-12"),
        350,
        true,
        true);
  }

  static DecisionRecord claim(Incarnation holder, int budget) {
    return new DecisionRecord.ClaimRequested(holder, budget(budget), 1_000, 500);
  }

  static DecisionRecord intent(int number) {
    return new DecisionRecord.IntentRecorded(
        key(number), AttemptId.of(ROUTER, number + 1L), SIDECAR, "0123456789abcdef".repeat(4));
  }

  static DecisionRecord topUp(String id, int budget, long baseOffset) {
    return new DecisionRecord.ConfigurationChanged(
        new ConfigurationChange(
            baseOffset,
            "operator-12",
            List.of(
                new ConfigurationEdit.AddTopUp(
                    new TopUp(TopUpId.of(id), budget(budget), TOKENS)))));
  }

  static RecordBatch batch(
      Incarnation writer, long sequence, long basedOn, List<DecisionRecord> records) {
    return new RecordBatch(writer, sequence, basedOn, records);
  }

  /** Applies records as one batch. */
  StateSamples apply(List<DecisionRecord> records) {
    sequence++;
    state.apply(next, batch(OPERATOR, sequence, next - 1, records));
    next++;
    return this;
  }

  long configurationOffset() {
    return state.configuration().offset();
  }

  StateSamples customers(int count) {
    List<ConfigurationEdit> edits = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      edits.add(
          new ConfigurationEdit.PutCustomer(
              new Customer(
                  customer(i),
                  "Customer number " + i,
                  List.of("%064x".formatted(i + 1)),
                  null,
                  SpendPolicy.TIGHT)));
    }
    return change(edits);
  }

  /** Adds budgets of the first customer, each with one top-up. */
  StateSamples budgets(int count) {
    List<ConfigurationEdit> edits = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      edits.add(new ConfigurationEdit.PutBudget(new Budget(budget(i), customer(0))));
      edits.add(
          new ConfigurationEdit.AddTopUp(
              new TopUp(TopUpId.of("first-%06d".formatted(i)), budget(i), TOKENS)));
    }
    return change(edits);
  }

  StateSamples sidecars(int count) {
    for (int i = 0; i < count; i++) {
      UpstreamId upstream = UpstreamId.of("model-%02d".formatted(i % 15));
      apply(List.of(new DecisionRecord.SidecarJoined(sidecar(i), upstream)));
    }
    return this;
  }

  /** Lets holders claim on each of the first budgets. */
  StateSamples claims(int holders, int budgets) {
    for (int holder = 1; holder <= holders; holder++) {
      List<DecisionRecord> records = new ArrayList<>();
      for (int i = 0; i < budgets; i++) {
        records.add(claim(router(holder), i));
      }
      apply(records);
    }
    return this;
  }

  StateSamples settled(int count) {
    for (int i = 0; i < count; i++) {
      apply(List.of(settlement(i, 0)));
    }
    return this;
  }

  StateSamples intents(int count) {
    for (int i = 0; i < count; i++) {
      apply(List.of(intent(i)));
    }
    return this;
  }

  private StateSamples change(List<ConfigurationEdit> edits) {
    for (int from = 0; from < edits.size(); from += EDITS_PER_CHANGE) {
      int to = Math.min(edits.size(), from + EDITS_PER_CHANGE);
      apply(
          List.of(
              new DecisionRecord.ConfigurationChanged(
                  new ConfigurationChange(
                      configurationOffset(), "operator-12", edits.subList(from, to)))));
    }
    return this;
  }
}
