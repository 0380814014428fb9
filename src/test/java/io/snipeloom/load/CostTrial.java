package io.snipeloom.load;

import io.snipeloom.load.FleetLoadSimulation.Kind;
import io.snipeloom.load.FleetLoadSimulation.Learning;
import io.snipeloom.load.FleetLoadSimulation.Output;
import io.snipeloom.load.FleetLoadSimulation.Result;
import io.snipeloom.load.FleetLoadSimulation.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Plays loads of different costs over several seeds, and prints a table of all of them. */
final class CostTrial {
  static final BatchEngine.Traits EVEN = new BatchEngine.Traits(5.61, 0.121, 54.6, 432_685, 0, 1);
  static final BatchEngine.Traits SHARED_HOSTS =
      new BatchEngine.Traits(5.61, 0.121, 54.6, 432_685, 0.15, 2.5);
  static final BatchEngine.Traits LARGE_STEPS =
      new BatchEngine.Traits(3.09, 0.121, 61.8, 387_276, 0.15, 2.5);

  /** The kinds of a deployment with long dossiers, threads and chats. */
  static final List<Kind> DOSSIERS =
      List.of(
          new Kind(52.4, 13_300, 3_720, 827, 250, Output.of(120)),
          new Kind(38.0, 6_300, 2_890, 1_219, 250, Output.of(52)),
          new Kind(53.7, 350, 1_110, 1_511, 250, Output.of(172)));

  /** The kinds of a deployment with reports, passages and explanations. */
  static final List<Kind> REPORTS =
      List.of(
          new Kind(50.7, 13_300, 3_720, 1_527, 600, Output.of(119)),
          new Kind(39.5, 6_300, 2_890, 619, 600, Output.of(49)),
          new Kind(81.2, 350, 1_110, 511, 600, Output.of(175)));

  /** Prompts of one size that generate 10 or 500 tokens. */
  static final List<Kind> ALIKE =
      List.of(
          new Kind(120, 350, 1_500, 400, 250, Output.of(10)),
          new Kind(120, 351, 1_500, 400, 250, Output.of(500)));

  static final List<Double> ONE_SPEED = List.of(1.0);
  static final List<Double> THREE_SPEEDS = List.of(0.6, 1.0, 1.6);

  private static final int SECONDS = 15;

  private CostTrial() {}

  static Setup setup(
      int instances,
      int replicas,
      double load,
      List<Kind> kinds,
      BatchEngine.Traits traits,
      List<Double> speeds) {
    return new Setup(instances, replicas, load, 100, kinds, traits, speeds, Learning.ALL);
  }

  static Setup shared(List<Double> speeds) {
    return setup(22, 28, 1, DOSSIERS, SHARED_HOSTS, speeds);
  }

  static Setup oldReports(int instances) {
    return new Setup(instances, 28, 1, 1_000, DOSSIERS, SHARED_HOSTS, THREE_SPEEDS, Learning.ALL);
  }

  /** Returns the requests of the fastest of three speeds by those of the slowest. */
  static double fastBySlow(Result result) {
    double slow = 0;
    double fast = 0;
    for (int i = 0; i + 2 < result.sentByReplica().size(); i += 3) {
      slow += result.sentByReplica().get(i);
      fast += result.sentByReplica().get(i + 2);
    }
    return fast / slow;
  }

  static List<Result> play(Setup setup, int seeds) {
    List<Result> results = new ArrayList<>();
    for (int seed = 0; seed < seeds; seed++) {
      results.add(FleetLoadSimulation.play(setup, seed, SECONDS));
    }
    return results;
  }

  static double mean(List<Result> results, ToDoubleFunction<Result> figure) {
    return results.stream().mapToDouble(figure).average().orElse(0);
  }

  /** Prints each load with and without what is learned; the argument is the number of seeds. */
  public static void main(String[] args) {
    int seeds = Integer.parseInt(args[0]);
    print("dossiers, uneven, shared", seeds, shared(THREE_SPEEDS));
    print("dossiers, shared", seeds, shared(ONE_SPEED));
    print("reports", seeds, setup(25, 32, 1, REPORTS, LARGE_STEPS, ONE_SPEED));
    print("dossiers, uneven", seeds, setup(22, 28, 1, DOSSIERS, EVEN, THREE_SPEEDS));
    print("dossiers", seeds, setup(22, 28, 1, DOSSIERS, EVEN, ONE_SPEED));
    print("one begins late", seeds, shared(THREE_SPEEDS), Learning.FIRST_LATE);
    for (int instances : List.of(4, 25, 100)) {
      print("reports 1 s old, " + instances, seeds, oldReports(instances));
    }
    print("10 and 500 tokens", seeds, setup(8, 12, 1, ALIKE, EVEN, ONE_SPEED));
  }

  private static void print(String name, int seeds, Setup setup, Learning... further) {
    List<Learning> learnings = new ArrayList<>(List.of(Learning.NOTHING, Learning.ALL));
    learnings.addAll(List.of(further));
    for (Learning learning : learnings) {
      List<Result> results = play(setup.withLearning(learning), seeds);
      StringBuilder kinds = new StringBuilder();
      for (int kind = 0; kind < setup.kinds().size(); kind++) {
        int index = kind;
        kinds.append(
            String.format(
                Locale.ROOT, " %.3f", mean(results, result -> result.inTimeByKind().get(index))));
      }
      System.out.printf(
          Locale.ROOT,
          "%-26s %-8s in time %.3f (%s) p50 %.0f p99 %.0f late gaps %.3f"
              + " imbalance %.3f read %.3f fast/slow %.2f first %.3f%n",
          name,
          learning,
          mean(results, Result::inTime),
          kinds.toString().trim(),
          mean(results, Result::medianMillis),
          mean(results, Result::p99Millis),
          mean(results, Result::lateGaps),
          mean(results, Result::imbalance),
          mean(results, Result::readTokensShare),
          mean(results, CostTrial::fastBySlow),
          mean(results, Result::firstInstanceInTime));
    }
  }
}
