package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import io.snipeloom.coordination.RoutingTrial.Fault;
import org.junit.jupiter.api.Test;

/**
 * Checks figures of the routing trial. The trial runs in virtual time, so a seed always gives the
 * same figures.
 */
class RoutingTrialTest {
  private static final long SEED = 1;

  private static TrialResult run(RoutingPolicy policy, TrialWorkload workload, Fault fault) {
    TrialWorkload.Service service = workload.model();
    double rate = RoutingTrial.rateAtTargetLoad(workload, service);
    return RoutingTrial.run(policy, workload, service, 1, rate, SEED, fault);
  }

  @Test
  void scoredPolicyHalvesTimeToFirstTokenOfRoundRobinAtNinetyPercentLoad() {
    for (TrialWorkload workload : TrialWorkload.all()) {
      String prompt = workload.model().traffic().get(0).name();
      TrialResult scored = run(RoutingPolicy.SCORED, workload, Fault.NONE);
      TrialResult roundRobin = run(RoutingPolicy.ROUND_ROBIN, workload, Fault.NONE);
      assertThat(
          workload + " seed " + SEED,
          scored.timeToFirstTokenMillis(prompt, 0.95),
          lessThan(roundRobin.timeToFirstTokenMillis(prompt, 0.95) / 2));
      assertThat(scored.cacheHitShare(), greaterThan(roundRobin.cacheHitShare()));
    }
  }

  @Test
  void retriesDoNotAmplifyLoadInFullOutage() {
    for (TrialWorkload workload : TrialWorkload.all()) {
      TrialResult result = run(RoutingPolicy.SCORED, workload, Fault.FULL_OUTAGE);
      assertThat(workload + " seed " + SEED, result.attemptsPerRequest(), lessThan(1.1));
    }
  }
}
