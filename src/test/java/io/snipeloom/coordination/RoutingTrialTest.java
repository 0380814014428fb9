package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import io.snipeloom.coordination.RoutingTrial.Fault;
import org.junit.jupiter.api.Test;

/** The figures are of virtual time and the same in every run of a seed. */
class RoutingTrialTest {
  private static final long SEED = 1;

  private static TrialResult run(RoutingPolicy policy, TrialShape shape, Fault fault) {
    TrialShape.Service service = shape.model();
    double rate = RoutingTrial.rateAtLoad(shape, service);
    return RoutingTrial.run(policy, shape, service, 1, rate, SEED, fault);
  }

  @Test
  void scoredHalvesTheFirstTokenTimeOfRoundRobinAtNinetyPercentLoad() {
    for (TrialShape shape : TrialShape.all()) {
      String prompt = shape.model().traffic().get(0).name();
      TrialResult scored = run(RoutingPolicy.SCORED, shape, Fault.NONE);
      TrialResult roundRobin = run(RoutingPolicy.ROUND_ROBIN, shape, Fault.NONE);
      assertThat(
          shape + " seed " + SEED,
          scored.firstTokenMillis(prompt, 0.95),
          lessThan(roundRobin.firstTokenMillis(prompt, 0.95) / 2));
      assertThat(scored.hitShare(), greaterThan(roundRobin.hitShare()));
    }
  }

  @Test
  void retriesDoNotMultiplyFullOutage() {
    for (TrialShape shape : TrialShape.all()) {
      TrialResult result = run(RoutingPolicy.SCORED, shape, Fault.FULL_OUTAGE);
      assertThat(shape + " seed " + SEED, result.amplification(), lessThan(1.1));
    }
  }
}
