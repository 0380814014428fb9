package io.snipeloom.coordination;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Compares the routing policies on the same seeded traces and prints the results as tables. */
final class RoutingTrial {
  static final double TARGET_BUSY_SHARE = 0.9;
  private static final long MODEL_SPAN_NANOS = 240 * VirtualClock.SECOND;
  private static final long PLAIN_SPAN_NANOS = 40 * VirtualClock.SECOND;
  private static final long CALIBRATION_SEED = 99;
  private static final int CALIBRATION_STEPS = 9;
  private static final int ROUTERS = 3;
  private static final List<Long> SEEDS = List.of(1L, 2L, 3L);
  private static final String HEADER =
      "| policy | class | p50 ms | p95 ms | p99 ms | goodput/s | refused | false refusals"
          + " | attempts per request | prefix hits |\n"
          + "|---|---|---|---|---|---|---|---|---|---|";

  private RoutingTrial() {}

  /** The fault injected into a run. */
  enum Fault {
    NONE,
    ONE_REPLICA,
    FULL_OUTAGE;

    void apply(TrialFleet fleet, long spanNanos) {
      if (this == ONE_REPLICA) {
        fleet.outage(fleet.replicas.subList(0, 1), spanNanos / 4, spanNanos / 2);
      } else if (this == FULL_OUTAGE) {
        fleet.engineOutage(spanNanos / 4, spanNanos / 2);
      }
    }
  }

  static long spanNanos(TrialWorkload.Service service) {
    return service.isModel() ? MODEL_SPAN_NANOS : PLAIN_SPAN_NANOS;
  }

  /**
   * Returns the requests per second at which round robin keeps the share {@link #TARGET_BUSY_SHARE}
   * of the slots busy.
   */
  static double rateAtTargetLoad(TrialWorkload workload, TrialWorkload.Service service) {
    double low = 0;
    double high = service.isModel() ? 6 * service.replicas() : 400 * service.replicas();
    for (int i = 0; i < CALIBRATION_STEPS; i++) {
      double rate = (low + high) / 2;
      if (busyShare(workload, service, rate) < TARGET_BUSY_SHARE) {
        low = rate;
      } else {
        high = rate;
      }
    }
    return low;
  }

  private static double busyShare(
      TrialWorkload workload, TrialWorkload.Service service, double rate) {
    TrialTrace trace = new TrialTrace(service, 1, ROUTERS, CALIBRATION_SEED);
    TrialFleet fleet = new TrialFleet(RoutingPolicy.ROUND_ROBIN, workload, service, 1, ROUTERS, 1);
    trace.generate(rate, spanNanos(service)).forEach(fleet::scheduleArrival);
    fleet.clock.runUntil(spanNanos(service));
    return fleet.busyShare();
  }

  static TrialResult run(
      RoutingPolicy policy,
      TrialWorkload workload,
      TrialWorkload.Service service,
      int scale,
      double rate,
      long seed,
      Fault fault) {
    List<TrialRequest> requests =
        new TrialTrace(service, scale, ROUTERS * scale, seed).generate(rate, spanNanos(service));
    TrialFleet fleet = new TrialFleet(policy, workload, service, scale, ROUTERS * scale, seed);
    fault.apply(fleet, spanNanos(service));
    requests.forEach(fleet::scheduleArrival);
    fleet.clock.runUntil(2 * spanNanos(service));
    return new TrialResult(requests, spanNanos(service));
  }

  /**
   * Runs all combinations of workload, fault and policy and prints a table for each workload and
   * fault.
   *
   * @param args the scale (default 1), followed by the seeds (default 1 2 3)
   */
  public static void main(String[] args) {
    int scale = args.length == 0 ? 1 : Integer.parseInt(args[0]);
    List<Long> seeds = Arrays.stream(args).skip(1).map(Long::valueOf).toList();
    for (TrialWorkload workload : TrialWorkload.all()) {
      for (TrialWorkload.Service service : workload.services()) {
        double rate = scale * rateAtTargetLoad(workload, service);
        for (Fault fault : Fault.values()) {
          printTable(workload, service, scale, rate, seeds.isEmpty() ? SEEDS : seeds, fault);
        }
      }
    }
  }

  private static void printTable(
      TrialWorkload workload,
      TrialWorkload.Service service,
      int scale,
      double rate,
      List<Long> seeds,
      Fault fault) {
    System.out.printf(
        Locale.ROOT,
        "%n%s %s x%d, seeds %s, fault %s, %.1f requests/s%n%n%s%n",
        workload.name(),
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
                  .map(seed -> run(policy, workload, service, scale, rate, seed, fault))
                  .toList());
      for (TrialWorkload.Traffic traffic : service.traffic()) {
        System.out.println(result.row(policy.name(), traffic.name()));
      }
    }
  }
}
