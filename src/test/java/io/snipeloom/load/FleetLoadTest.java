package io.snipeloom.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Tests which share of the requests begins in time when many instances send to many replicas. */
class FleetLoadTest {
  private static final int SECONDS = 20;
  private static final int SEEDS = 3;

  /** The time between two reports of an instance to the others, in milliseconds. */
  private static final long REPORT_INTERVAL_MILLIS = 100;

  /**
   * Guards against instances that receive so few responses of each replica that they choose without
   * knowing its load: long prompts of several instances then wait one behind the other, while other
   * replicas are idle. The share in time fell with the number of instances: 0.92 at 4, 0.61 at 33.
   */
  @Test
  void shareInTimeDoesNotFallWithTheNumberOfInstances() {
    double few = shareInTime(4, 6, 1.0);
    double many = shareInTime(33, 42, 1.0);
    assertThat("33 instances and 42 replicas", many, greaterThan(few - 0.03));
  }

  /** Guards against long prompts that wait at one replica although the fleet has half a load. */
  @Test
  void requestsOfManyInstancesBeginInTimeAtModerateLoad() {
    assertThat("33 instances", shareInTime(33, 42, 0.7), greaterThan(0.95));
    assertThat("100 instances", shareInTime(100, 127, 0.7), greaterThan(0.95));
  }

  /**
   * Guards against shared parts that every replica processes because another one is a little idler.
   */
  @Test
  void partsThatOneReplicaHasCachedAreSeldomProcessedAgain() {
    FleetLoadSimulation.Setup setup =
        new FleetLoadSimulation.Setup(33, 42, 0.7, REPORT_INTERVAL_MILLIS);
    double recomputed = FleetLoadSimulation.play(setup, 0, SECONDS).recomputedShare();
    assertThat("share of prompt tokens", recomputed, lessThan(0.04));
  }

  private static double shareInTime(int instances, int replicas, double load) {
    FleetLoadSimulation.Setup setup =
        new FleetLoadSimulation.Setup(instances, replicas, load, REPORT_INTERVAL_MILLIS);
    double sum = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      sum += FleetLoadSimulation.play(setup, seed, SECONDS).inTime();
    }
    return sum / SEEDS;
  }
}
