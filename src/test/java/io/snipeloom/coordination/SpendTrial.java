package io.snipeloom.coordination;

import java.time.Duration;
import java.util.Locale;

/** Prints the tables of docs/measurements/spend.md. Arguments: the first seed and the number. */
public final class SpendTrial {
  private static final long TOKENS_PER_HOUR = 6L * 3600 * 1200;
  private static final long MINUTE = Duration.ofMinutes(1).toMillis();
  private static final int HOLDERS_PER_REGION = 4;

  private SpendTrial() {}

  /** Runs the trials. */
  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    int runs = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 5;
    System.out.println("No fault, 1 h of tokens, until the first refusal");
    print(seed, runs, (s, way) -> untilRefused(s, way, HOLDERS_PER_REGION));
    System.out.println("Nearly spent, 10 min of tokens, 20 min of requests");
    print(seed, runs, (s, way) -> nearlySpent(s, way, HOLDERS_PER_REGION));
    System.out.println("Busiest region cut off for 1 h, top-up inside, 100 min of requests");
    print(seed, runs, (s, way) -> partition(s, way, 0));
    System.out.println("Middle region cut off for 1 h, top-up inside, 100 min of requests");
    print(seed, runs, (s, way) -> partition(s, way, 1));
    for (int holders : new int[] {1, 16}) {
      System.out.printf("Nearly spent, 3 regions x %d holders%n", holders);
      print(seed, runs, (s, way) -> nearlySpent(s, way, holders));
    }
  }

  static SpendTrialResult untilRefused(long seed, TrialHolder.Way way, int holders) {
    TrialWorld world = new TrialWorld(seed, way, holders);
    world.topUp("t1", TOKENS_PER_HOUR);
    world.runUntilRefused(120 * MINUTE);
    return world.result();
  }

  static SpendTrialResult nearlySpent(long seed, TrialHolder.Way way, int holders) {
    TrialWorld world = new TrialWorld(seed, way, holders);
    world.topUp("t1", TOKENS_PER_HOUR / 6);
    world.run(20 * MINUTE);
    return world.result();
  }

  static SpendTrialResult partition(long seed, TrialHolder.Way way, int region) {
    TrialWorld world = new TrialWorld(seed, way, HOLDERS_PER_REGION);
    world.topUp("t1", 2 * TOKENS_PER_HOUR);
    world.run(20 * MINUTE);
    world.noteHeld();
    world.cutRegion(region, true);
    world.run(30 * MINUTE);
    world.topUp("t2", TOKENS_PER_HOUR);
    world.run(30 * MINUTE);
    world.cutRegion(region, false);
    world.run(20 * MINUTE);
    return world.result();
  }

  private static void print(long seed, int runs, Scenario scenario) {
    System.out.println(
        "| way | requests | refused | falsely refused | usable share | unspent tokens"
            + " | overspent | appends per 1000 requests | held per router before the cut |");
    System.out.println("|---|---|---|---|---|---|---|---|---|");
    for (TrialHolder.Way way : TrialHolder.Way.values()) {
      SpendTrialResult sum = new SpendTrialResult();
      double share = 0;
      for (int run = 0; run < runs; run++) {
        SpendTrialResult result = scenario.run(seed + run, way);
        sum.requests += result.requests;
        sum.refused += result.refused;
        sum.falselyRefused += result.falselyRefused;
        sum.appends += result.appends;
        sum.unspent += result.unspent;
        sum.overspent += result.overspent;
        sum.heldPerRouter += result.heldPerRouter / runs;
        share += result.usableShare / runs;
      }
      System.out.printf(
          Locale.ROOT,
          "| %s | %d | %d | %d | %.3f %% | %d | %d | %d | %d |%n",
          way,
          sum.requests,
          sum.refused,
          sum.falselyRefused,
          share * 100,
          sum.unspent / runs,
          sum.overspent,
          sum.appends * 1000 / sum.requests,
          sum.heldPerRouter);
    }
  }

  /** A run of one way under one seed. */
  private interface Scenario {
    SpendTrialResult run(long seed, TrialHolder.Way way);
  }
}
