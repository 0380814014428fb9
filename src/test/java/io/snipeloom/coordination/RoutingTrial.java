package io.snipeloom.coordination;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Compares the routing policies on the same seeded traces and prints the tables of the page. */
final class RoutingTrial {
  static final double LOAD = 0.9;
  private static final long MODEL_SPAN = 240 * TrialClock.SECOND;
  private static final long PLAIN_SPAN = 40 * TrialClock.SECOND;
  private static final long CALIBRATION_SEED = 99;
  private static final int CALIBRATION_STEPS = 9;
  private static final int ROUTERS = 3;
  private static final List<Long> SEEDS = List.of(1L, 2L, 3L);
  private static final String HEADER =
      "| policy | class | p50 ms | p95 ms | p99 ms | goodput/s | refused | false refusals"
          + " | attempts per request | prefix hits |\n"
          + "|---|---|---|---|---|---|---|---|---|---|";

  private RoutingTrial() {}

  /** What fails in a run. */
  enum Fault {
    NONE,
    ONE_REPLICA,
    FULL_OUTAGE;

    void apply(TrialFleet fleet, long span) {
      if (this == ONE_REPLICA) {
        fleet.outage(fleet.replicas.subList(0, 1), span / 4, span / 2);
      } else if (this == FULL_OUTAGE) {
        fleet.engineOutage(span / 4, span / 2);
      }
    }
  }

  static long span(TrialShape.Service service) {
    return service.isModel() ? MODEL_SPAN : PLAIN_SPAN;
  }

  /** Returns the requests per second at which round robin keeps a share of the slots busy. */
  static double rateAtLoad(TrialShape shape, TrialShape.Service service) {
    double low = 0;
    double high = service.isModel() ? 6 * service.replicas() : 400 * service.replicas();
    for (int i = 0; i < CALIBRATION_STEPS; i++) {
      double rate = (low + high) / 2;
      if (busyShare(shape, service, rate) < LOAD) {
        low = rate;
      } else {
        high = rate;
      }
    }
    return low;
  }

  private static double busyShare(TrialShape shape, TrialShape.Service service, double rate) {
    TrialTrace trace = new TrialTrace(service, 1, ROUTERS, CALIBRATION_SEED);
    TrialFleet fleet = new TrialFleet(RoutingPolicy.ROUND_ROBIN, shape, service, 1, ROUTERS, 1);
    trace.draw(rate, span(service)).forEach(fleet::arrive);
    fleet.clock.runUntil(span(service));
    return fleet.busyShare();
  }

  static TrialResult run(
      RoutingPolicy policy,
      TrialShape shape,
      TrialShape.Service service,
      int scale,
      double rate,
      long seed,
      Fault fault) {
    List<TrialRequest> requests =
        new TrialTrace(service, scale, ROUTERS * scale, seed).draw(rate, span(service));
    TrialFleet fleet = new TrialFleet(policy, shape, service, scale, ROUTERS * scale, seed);
    fault.apply(fleet, span(service));
    requests.forEach(fleet::arrive);
    fleet.clock.runUntil(2 * span(service));
    return new TrialResult(requests, span(service));
  }

  /**
   * Prints the tables.
   *
   * @param args the scale, 1 if none, and the seeds, 1 2 3 if none
   */
  public static void main(String[] args) {
    int scale = args.length == 0 ? 1 : Integer.parseInt(args[0]);
    List<Long> seeds = Arrays.stream(args).skip(1).map(Long::valueOf).toList();
    for (TrialShape shape : TrialShape.all()) {
      for (TrialShape.Service service : shape.services()) {
        double rate = scale * rateAtLoad(shape, service);
        for (Fault fault : Fault.values()) {
          printTable(shape, service, scale, rate, seeds.isEmpty() ? SEEDS : seeds, fault);
        }
      }
    }
  }

  private static void printTable(
      TrialShape shape,
      TrialShape.Service service,
      int scale,
      double rate,
      List<Long> seeds,
      Fault fault) {
    System.out.printf(
        Locale.ROOT,
        "%n%s %s x%d, seeds %s, fault %s, %.1f requests/s%n%n%s%n",
        shape.name(),
        service.name(),
        scale,
        seeds,
        fault,
        rate,
        HEADER);
    for (RoutingPolicy policy : RoutingPolicy.values()) {
      TrialResult result =
          TrialResult.pooled(
              seeds.parallelStream()
                  .map(seed -> run(policy, shape, service, scale, rate, seed, fault))
                  .toList());
      for (TrialShape.Traffic traffic : service.traffic()) {
        System.out.println(result.row(policy.name(), traffic.name()));
      }
    }
  }
}
