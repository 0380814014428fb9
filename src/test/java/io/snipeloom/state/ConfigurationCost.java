package io.snipeloom.state;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Benchmark that prints the cost of one change and the retained heap of the document for several
 * numbers of budgets. Run it with {@code bench/configuration-cost}.
 */
public final class ConfigurationCost {
  private static final int[] SIZES = {10, 1_000, 39_000, 390_000};
  private static final int BUDGETS_PER_CUSTOMER = 15;
  private static final int EDITS_PER_LOAD = 5_000;
  private static final int WARMUP_CHANGES = 20_000;
  private static final int CHANGES = 20_000;
  private static final int COPIES = 20;
  private static final int RUNS = 5;
  private static final long SEED = 42;
  private static final double NANOS_PER_MICRO = 1_000;

  private ConfigurationCost() {}

  /**
   * Prints one line for each number of budgets.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    System.out.println(
        "budgets  change-us(min..max of %d runs)  change-bytes  copy-us  copy-bytes  heap-bytes"
            .formatted(RUNS));
    for (int size : SIZES) {
      measure(size);
    }
  }

  private static void measure(int size) {
    long before = usedHeap();
    ConfigurationDocument document = document(size);
    long heap = usedHeap() - before;
    run(document, size, WARMUP_CHANGES);
    List<Double> micros = new ArrayList<>();
    long bytes = 0;
    for (int run = 0; run < RUNS; run++) {
      long allocated = allocatedBytes();
      long start = System.nanoTime();
      run(document, size, CHANGES);
      micros.add((System.nanoTime() - start) / NANOS_PER_MICRO / CHANGES);
      bytes = (allocatedBytes() - allocated) / CHANGES;
    }
    double min = micros.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
    double max = micros.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
    long copyAllocated = allocatedBytes();
    long copyStart = System.nanoTime();
    int copiedEntries = copies(document);
    double copyMicros = (System.nanoTime() - copyStart) / NANOS_PER_MICRO / COPIES;
    long copyBytes = (allocatedBytes() - copyAllocated) / COPIES;
    System.out.println(
        "%7d  %.2f..%.2f  %d  %.1f  %d  %d  (%d)"
            .formatted(size, min, max, bytes, copyMicros, copyBytes, heap, copiedEntries));
  }

  /** Applies changes that each replace a budget, add a top-up and replace a customer. */
  private static void run(ConfigurationDocument start, int size, int changes) {
    Random random = new Random(SEED);
    ConfigurationDocument document = start;
    for (int i = 0; i < changes; i++) {
      int budget = random.nextInt(size);
      long offset = document.offset();
      document =
          document.with(
              offset + 1,
              ConfigurationSamples.change(
                  offset,
                  ConfigurationSamples.put(budget(budget)),
                  ConfigurationSamples.add(
                      ConfigurationSamples.topUp("run-" + i, budgetId(budget), 1_000)),
                  ConfigurationSamples.put(ConfigurationSamples.customer(customerId(budget)))));
    }
    if (document.topUps().size() != start.topUps().size() + changes) {
      throw new IllegalStateException("a change was lost");
    }
  }

  /**
   * Measures the rejected alternative, in which each change copies the sorted map of an edited
   * section.
   *
   * @return the total size of the copies, so that they are not optimized away
   */
  private static int copies(ConfigurationDocument document) {
    Map<BudgetId, Entry<Budget>> budgets = new TreeMap<>(document.content().budgets());
    int copiedEntries = 0;
    for (int i = 0; i < COPIES; i++) {
      Map<BudgetId, Entry<Budget>> copy = new TreeMap<>(budgets);
      copy.put(BudgetId.of("copy"), new Entry<>(budget(0), i));
      copiedEntries += copy.size();
    }
    return copiedEntries;
  }

  private static ConfigurationDocument document(int size) {
    ConfigurationDocument document = ConfigurationDocument.empty();
    List<ConfigurationEdit> edits = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      if (i % BUDGETS_PER_CUSTOMER == 0) {
        edits.add(ConfigurationSamples.put(ConfigurationSamples.customer(customerId(i))));
      }
      edits.add(ConfigurationSamples.put(budget(i)));
      edits.add(
          ConfigurationSamples.add(
              ConfigurationSamples.topUp("first-" + i, budgetId(i), 1_000_000)));
      if (edits.size() >= EDITS_PER_LOAD || i == size - 1) {
        long offset = document.offset();
        document = document.with(offset + 1, new ConfigurationChange(offset, "loader", edits));
        edits.clear();
      }
    }
    return document;
  }

  private static Budget budget(int number) {
    return ConfigurationSamples.budget(budgetId(number), customerId(number));
  }

  private static String budgetId(int number) {
    return "budget-" + number;
  }

  private static String customerId(int number) {
    return "customer-" + number / BUDGETS_PER_CUSTOMER;
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static long allocatedBytes() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
  }
}
