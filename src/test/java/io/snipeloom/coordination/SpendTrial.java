package io.snipeloom.coordination;

import java.time.Duration;
import java.util.Locale;

/**
 * Compares strategies for holding tokens and prints the tables of docs/measurements/spend.md.
 * Arguments: the first seed (default 1) and the number of runs (default 5).
 */
public final class SpendTrial {
  private static final long TOKENS_PER_HOUR = 6L * 3600 * 1200;
  private static final long MINUTE_MILLIS = Duration.ofMinutes(1).toMillis();
  private static final int HOLDERS_PER_REGION = 4;

  private SpendTrial() {}

  /** Runs every scenario and prints a table for each. */
  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    int runs = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 5;
    System.out.println("No fault, 1 h of tokens, until the first refusal");
    print(
        seed,
        runs,
        (seedOfRun, strategy) -> untilFirstRefusal(seedOfRun, strategy, HOLDERS_PER_REGION));
    System.out.println("Nearly spent, 10 min of tokens, 20 min of requests");
    print(
        seed, runs, (seedOfRun, strategy) -> nearlySpent(seedOfRun, strategy, HOLDERS_PER_REGION));
    System.out.println("Busiest region cut off for 1 h, top-up inside, 100 min of requests");
    print(seed, runs, (seedOfRun, strategy) -> partitioned(seedOfRun, strategy, 0));
    System.out.println("Middle region cut off for 1 h, top-up inside, 100 min of requests");
    print(seed, runs, (seedOfRun, strategy) -> partitioned(seedOfRun, strategy, 1));
    for (int holders : new int[] {1, 16}) {
      System.out.printf("Nearly spent, 3 regions x %d holders%n", holders);
      print(seed, runs, (seedOfRun, strategy) -> nearlySpent(seedOfRun, strategy, holders));
    }
  }

  static SpendTrialResult untilFirstRefusal(
      long seed, SpendTrialHolder.Strategy strategy, int holders) {
    SpendTrialSimulation simulation = new SpendTrialSimulation(seed, strategy, holders);
    simulation.topUp("t1", TOKENS_PER_HOUR);
    simulation.runUntilRefused(120 * MINUTE_MILLIS);
    return simulation.result();
  }

  static SpendTrialResult nearlySpent(long seed, SpendTrialHolder.Strategy strategy, int holders) {
    SpendTrialSimulation simulation = new SpendTrialSimulation(seed, strategy, holders);
    simulation.topUp("t1", TOKENS_PER_HOUR / 6);
    simulation.run(20 * MINUTE_MILLIS);
    return simulation.result();
  }

  static SpendTrialResult partitioned(long seed, SpendTrialHolder.Strategy strategy, int region) {
    SpendTrialSimulation simulation = new SpendTrialSimulation(seed, strategy, HOLDERS_PER_REGION);
    simulation.topUp("t1", 2 * TOKENS_PER_HOUR);
    simulation.run(20 * MINUTE_MILLIS);
    simulation.recordHeld();
    simulation.setPartitioned(region, true);
    simulation.run(30 * MINUTE_MILLIS);
    simulation.topUp("t2", TOKENS_PER_HOUR);
    simulation.run(30 * MINUTE_MILLIS);
    simulation.setPartitioned(region, false);
    simulation.run(20 * MINUTE_MILLIS);
    return simulation.result();
  }

  private static void print(long seed, int runs, Scenario scenario) {
    System.out.println(
        "| way | requests | refused | falsely refused | usable share | unspent tokens"
            + " | overspent | appends per 1000 requests | held per router before the cut |");
    System.out.println("|---|---|---|---|---|---|---|---|---|");
    for (SpendTrialHolder.Strategy strategy : SpendTrialHolder.Strategy.values()) {
      SpendTrialResult total = new SpendTrialResult();
      double usableShare = 0;
      for (int run = 0; run < runs; run++) {
        SpendTrialResult result = scenario.run(seed + run, strategy);
        total.requests += result.requests;
        total.refused += result.refused;
        total.falselyRefused += result.falselyRefused;
        total.appends += result.appends;
        total.unspent += result.unspent;
        total.overspent += result.overspent;
        total.heldPerRouter += result.heldPerRouter / runs;
        usableShare += result.usableShare / runs;
      }
      System.out.printf(
          Locale.ROOT,
          "| %s | %d | %d | %d | %.3f %% | %d | %d | %d | %d |%n",
          strategy,
          total.requests,
          total.refused,
          total.falselyRefused,
          usableShare * 100,
          total.unspent / runs,
          total.overspent,
          total.appends * 1000 / total.requests,
          total.heldPerRouter);
    }
  }

  /** A scenario that runs with a seed and a strategy. */
  private interface Scenario {
    SpendTrialResult run(long seed, SpendTrialHolder.Strategy strategy);
  }
}
