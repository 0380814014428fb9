package io.snipeloom.state;

import java.util.ArrayList;
import java.util.List;

/**
 * Builds decision states of a given size for measurements. The identifiers are as long as those of
 * a large fleet.
 */
final class StateSamples {
  static final Incarnation ROUTER = router(1);
  static final Incarnation SIDECAR = sidecar(1);
  private static final Incarnation WRITER = Incarnation.of("router-9999#3f9a2c1b");
  private static final int EDITS_PER_CHANGE = 4_000;
  private static final long TOP_UP_TOKENS = 1_000_000_000L;
  private static final int FIRST_KEY_NUMBER = 0x10000000;

  private DecisionState state = DecisionState.empty();
  private long nextOffset;
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
        customer(0), "%08x-d81c-7a3e-9b4f-c2d1e0f7a6b5".formatted(FIRST_KEY_NUMBER + number));
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
                    new TopUp(TopUpId.of(id), budget(budget), TOP_UP_TOKENS)))));
  }

  static RecordBatch batch(
      Incarnation writer, long sequence, long basedOn, List<DecisionRecord> records) {
    return new RecordBatch(writer, sequence, basedOn, records);
  }

  /** Applies the records as one batch. */
  StateSamples apply(List<DecisionRecord> records) {
    sequence++;
    state.apply(nextOffset, batch(WRITER, sequence, nextOffset - 1, records));
    nextOffset++;
    return this;
  }

  long configurationOffset() {
    return state.configuration().offset();
  }

  /** Adds customers, each with one API key. */
  StateSamples addCustomers(int count) {
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
    return applyInChanges(edits);
  }

  /** Adds budgets of customer 0, each with one top-up. */
  StateSamples addBudgets(int count) {
    List<ConfigurationEdit> edits = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      edits.add(new ConfigurationEdit.PutBudget(new Budget(budget(i), customer(0))));
      edits.add(
          new ConfigurationEdit.AddTopUp(
              new TopUp(TopUpId.of("first-%06d".formatted(i)), budget(i), TOP_UP_TOKENS)));
    }
    return applyInChanges(edits);
  }

  /** Adds sidecars, spread over 15 upstreams. */
  StateSamples addSidecars(int count) {
    for (int i = 0; i < count; i++) {
      UpstreamId upstream = UpstreamId.of("model-%02d".formatted(i % 15));
      apply(List.of(new DecisionRecord.SidecarJoined(sidecar(i), upstream)));
    }
    return this;
  }

  /** Adds a claim of each holder on each of the first budgets. */
  StateSamples addClaims(int holders, int budgets) {
    for (int holder = 1; holder <= holders; holder++) {
      List<DecisionRecord> records = new ArrayList<>();
      for (int i = 0; i < budgets; i++) {
        records.add(claim(router(holder), i));
      }
      apply(records);
    }
    return this;
  }

  /** Adds exact, billed settlements of attempts that use different keys. */
  StateSamples addSettlements(int count) {
    for (int i = 0; i < count; i++) {
      apply(List.of(settlement(i, 0)));
    }
    return this;
  }

  /** Adds intents for calls that use different keys. */
  StateSamples addIntents(int count) {
    for (int i = 0; i < count; i++) {
      apply(List.of(intent(i)));
    }
    return this;
  }

  /** Applies the edits in changes of bounded size. */
  private StateSamples applyInChanges(List<ConfigurationEdit> edits) {
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
