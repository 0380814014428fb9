package io.snipeloom.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Measures how the size of the decision state and its records, and the time to process them, grow
 * with the number of entries.
 */
public final class StateSlopes {
  private static final long[] BUDGETS = {100, 1_000, 10_000, 39_000};
  private static final long[] KEYS = {100, 1_000, 10_000, 100_000};
  private static final long[] PAIRS = {100, 1_000, 10_000, 100_000};
  private static final long[] CUSTOMERS = {26, 260, 2_600, 26_000};
  private static final long[] SIDECARS = {79, 790, 3_950, 7_900};
  private static final long[] RECORDS = {1, 10, 100, 500};
  private static final int BUDGETS_PER_HOLDER = 100;
  private static final int APPLIES_PER_RUN = 2_000;
  private static final int CODEC_CALLS_PER_RUN = 20;

  private final SlopeTable table;

  private StateSlopes(SlopeTable table) {
    this.table = table;
  }

  /** Runs the measurements and adds their figures to the table. */
  public static void addTo(SlopeTable table) {
    StateSlopes slopes = new StateSlopes(table);
    slopes.addRecords();
    slopes.addSizes("budget with one top-up", BUDGETS, n -> withCustomer().addBudgets(n));
    slopes.addSizes("customer with one key", CUSTOMERS, n -> new StateSamples().addCustomers(n));
    slopes.addSizes("live sidecar", SIDECARS, n -> new StateSamples().addSidecars(n));
    slopes.addSizes(
        "holder-budget pair",
        PAIRS,
        n ->
            withCustomer()
                .addBudgets(BUDGETS_PER_HOLDER)
                .addClaims(n / BUDGETS_PER_HOLDER, BUDGETS_PER_HOLDER));
    slopes.addSizes(
        "billed key", KEYS, n -> withCustomer().addBudgets(1).addClaims(1, 1).addSettlements(n));
    slopes.addSizes("key of a call", KEYS, n -> withHolderAndSidecars().addIntents(n));
    slopes.addSnapshots();
    slopes.addApplies();
  }

  private static StateSamples withCustomer() {
    return new StateSamples().addCustomers(1);
  }

  private static StateSamples withHolderAndSidecars() {
    return withCustomer().addBudgets(1).addSidecars(2).addClaims(1, 1);
  }

  private void addSizes(String item, long[] sizes, IntFunction<StateSamples> build) {
    long[] heaps = new long[sizes.length];
    long[] bytes = new long[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      int size = (int) sizes[i];
      heaps[i] = heap(build, size);
      bytes[i] = build.apply(size).state().snapshot().length;
    }
    table.addCounts("state heap per " + item, item, "bytes", sizes, heaps);
    table.addCounts("snapshot per " + item, item, "bytes", sizes, bytes);
  }

  private static long heap(IntFunction<StateSamples> build, int size) {
    long before = SlopeTable.usedHeap();
    StateSamples samples = build.apply(size);
    long after = SlopeTable.usedHeap();
    if (samples.state().appliedOffset() < 0) {
      throw new IllegalStateException("nothing was applied");
    }
    return after - before;
  }

  private void addSnapshots() {
    double[][] writes = new double[BUDGETS.length][];
    double[][] restores = new double[BUDGETS.length][];
    for (int i = 0; i < BUDGETS.length; i++) {
      DecisionState state = withCustomer().addBudgets((int) BUDGETS[i]).state();
      byte[] snapshot = state.snapshot();
      writes[i] = SlopeTable.nanos(1, () -> state.snapshot());
      restores[i] = SlopeTable.nanos(1, () -> DecisionState.restore(snapshot));
    }
    table.addTimes("snapshot write", "budgets", "ns", BUDGETS, writes);
    table.addTimes("snapshot restore", "budgets", "ns", BUDGETS, restores);
  }

  /** The kinds of records that are measured; their names are part of the figures' names. */
  private enum Kind {
    SETTLE {
      @Override
      DecisionRecord record(int number, int budgets, long baseOffset) {
        return StateSamples.settlement(number, 0);
      }
    },
    CLAIM {
      @Override
      DecisionRecord record(int number, int budgets, long baseOffset) {
        return StateSamples.claim(StateSamples.ROUTER, number % budgets);
      }
    },
    INTENT {
      @Override
      DecisionRecord record(int number, int budgets, long baseOffset) {
        return StateSamples.intent(number);
      }
    },
    TOP_UP {
      @Override
      DecisionRecord record(int number, int budgets, long baseOffset) {
        return StateSamples.topUp("later-%06d".formatted(number), number % budgets, baseOffset);
      }
    };

    abstract DecisionRecord record(int number, int budgets, long baseOffset);
  }

  private void addRecords() {
    for (Kind kind : Kind.values()) {
      long[] bytes = new long[RECORDS.length];
      long[] allocated = new long[RECORDS.length];
      double[][] encodings = new double[RECORDS.length][];
      double[][] decodings = new double[RECORDS.length][];
      for (int i = 0; i < RECORDS.length; i++) {
        RecordBatch batch = batch(kind, (int) RECORDS[i]);
        byte[] encoded = RecordCodec.encode(batch);
        bytes[i] = encoded.length;
        allocated[i] = SlopeTable.allocated(CODEC_CALLS_PER_RUN, () -> RecordCodec.decode(encoded));
        encodings[i] = SlopeTable.nanos(CODEC_CALLS_PER_RUN, () -> RecordCodec.encode(batch));
        decodings[i] = SlopeTable.nanos(CODEC_CALLS_PER_RUN, () -> RecordCodec.decode(encoded));
      }
      table.addCounts("batch bytes, " + kind, "records", "bytes", RECORDS, bytes);
      table.addCounts("batch decode allocation, " + kind, "records", "bytes", RECORDS, allocated);
      table.addTimes("batch encode, " + kind, "records", "ns", RECORDS, encodings);
      table.addTimes("batch decode, " + kind, "records", "ns", RECORDS, decodings);
    }
  }

  private static RecordBatch batch(Kind kind, int size) {
    List<DecisionRecord> records = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      records.add(kind.record(i, size, 123_456_789));
    }
    return StateSamples.batch(StateSamples.ROUTER, 123_456, 123_456_789, records);
  }

  private void addApplies() {
    for (Kind kind : Kind.values()) {
      double[][] samples = new double[BUDGETS.length][];
      double[] warmUp = applies(kind, (int) BUDGETS[0]);
      if (warmUp.length != SlopeTable.RUNS) {
        throw new IllegalStateException("a run is missing");
      }
      for (int i = 0; i < BUDGETS.length; i++) {
        samples[i] = applies(kind, (int) BUDGETS[i]);
      }
      table.addTimes("apply one " + kind, "budgets", "ns", BUDGETS, samples);
    }
  }

  /** Returns the nanoseconds to apply one record, one value for each run. */
  private static double[] applies(Kind kind, int budgets) {
    StateSamples samples = withCustomer().addBudgets(budgets).addSidecars(2).addClaims(1, 1);
    int[] number = {0};
    return SlopeTable.nanos(APPLIES_PER_RUN, run -> time(kind, budgets, samples, number));
  }

  private static long time(Kind kind, int budgets, StateSamples samples, int[] number) {
    long start = System.nanoTime();
    for (int i = 0; i < APPLIES_PER_RUN; i++) {
      long base = samples.configurationOffset();
      samples.apply(List.of(kind.record(number[0]++, budgets, base)));
    }
    return System.nanoTime() - start;
  }
}
