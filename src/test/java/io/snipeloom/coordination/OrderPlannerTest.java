package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.snipeloom.state.DecisionRecord;
import io.snipeloom.state.EngineOrder;
import io.snipeloom.state.InstanceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OrderPlannerTest {
  private static final EngineOrder ORDER = new EngineOrder(EngineOrder.Action.LOAD_VERSION, "v2");
  private static final int SCHEDULES = 2_000;
  private static final WeightStoreRate HIGH_RATE = new WeightStoreRate(100, Duration.ofMillis(1));

  private static OrderPlanner.Replica replica(int number, boolean ready, boolean updated) {
    Set<String> loaded = updated ? Set.of("v2") : Set.of("v1");
    return new OrderPlanner.Replica(
        InstanceId.of("s" + number), ready, Set.of(FakeLink.MODEL), loaded);
  }

  /**
   * A rollout to replicas that apply orders after a delay, by planners that read outdated views of
   * the replicas and of the log.
   */
  private static final class Rollout {
    private final SplittableRandom random;
    private final boolean[] ready;
    private final boolean[] updated;
    private final List<OrderPlanner.Issued> log = new ArrayList<>();
    private final List<List<OrderPlanner.Replica>> views = new ArrayList<>();

    Rollout(SplittableRandom random) {
      this.random = random;
      ready = new boolean[2 + random.nextInt(5)];
      updated = new boolean[ready.length];
      Arrays.fill(ready, true);
    }

    void step() {
      views.add(view());
      if (random.nextInt(3) == 0) {
        int index = random.nextInt(ready.length);
        updated[index] |= !ready[index];
        ready[index] = true;
      } else {
        planOnce();
      }
    }

    private List<OrderPlanner.Replica> view() {
      List<OrderPlanner.Replica> view = new ArrayList<>();
      for (int i = 0; i < ready.length; i++) {
        view.add(replica(i, ready[i], updated[i]));
      }
      return view;
    }

    private void planOnce() {
      var view = views.get(Math.max(0, views.size() - 1 - random.nextInt(4)));
      var visibleLog = log.subList(0, Math.max(0, log.size() - random.nextInt(3)));
      var orders =
          OrderPlanner.of(HIGH_RATE, 1 + random.nextInt(3)).plan(ORDER, view, visibleLog, 0);
      for (DecisionRecord order : orders) {
        InstanceId target = ((DecisionRecord.OrderIssued) order).target();
        log.add(new OrderPlanner.Issued(target, ORDER, log.size(), 0));
        int index = Integer.parseInt(target.value().substring(1));
        ready[index] &= updated[index];
      }
    }

    boolean anyReady() {
      for (boolean replicaReady : ready) {
        if (replicaReady) {
          return true;
        }
      }
      return false;
    }

    boolean isComplete() {
      return OrderPlanner.isComplete(ORDER, view());
    }
  }

  @Test
  void rolloutByPlannersWithStaleViewsAlwaysKeepsOneReplicaReady() {
    int complete = 0;
    for (long seed = 0; seed < SCHEDULES; seed++) {
      Rollout rollout = new Rollout(new SplittableRandom(seed));
      for (int step = 0; step < 200; step++) {
        rollout.step();
        assertThat("seed " + seed + " step " + step, rollout.anyReady(), is(true));
      }
      complete += rollout.isComplete() ? 1 : 0;
    }
    assertThat(complete, is(greaterThan(SCHEDULES * 9 / 10)));
  }

  @Test
  void onlyReplicaGetsNoOrder() {
    assertThat(
        OrderPlanner.of(HIGH_RATE, 1).plan(ORDER, List.of(replica(0, true, false)), List.of(), 0),
        hasSize(0));
  }

  @Test
  void planIsDeterministicAndEmptyOnceIssued() {
    List<OrderPlanner.Replica> view = List.of(replica(0, true, false), replica(1, true, false));
    OrderPlanner planner = OrderPlanner.of(HIGH_RATE, 1);
    List<DecisionRecord> first = planner.plan(ORDER, view, List.of(), 0);
    assertThat(planner.plan(ORDER, view, List.of(), 0), is(first));
    var issued = List.of(new OrderPlanner.Issued(InstanceId.of("s0"), ORDER, 1, 0));
    assertThat(planner.plan(ORDER, view, issued, 0), hasSize(0));
  }

  @Test
  void weightStoreRateLimitsWholeFleet() {
    WeightStoreRate rate = new WeightStoreRate(2, Duration.ofSeconds(10));
    EngineOrder load = new EngineOrder(EngineOrder.Action.LOAD_MODEL, "m2");
    List<OrderPlanner.Replica> view = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      view.add(replica(i, true, false));
    }
    List<OrderPlanner.Issued> log = new ArrayList<>();
    for (int second = 0; second <= 60; second++) {
      long now = second * VirtualClock.SECOND;
      for (DecisionRecord order : OrderPlanner.of(rate, 50).plan(load, view, log, now)) {
        InstanceId target = ((DecisionRecord.OrderIssued) order).target();
        log.add(new OrderPlanner.Issued(target, load, log.size(), now));
      }
      assertThat(log.size(), is(lessThanOrEqualTo(2 + second / 10)));
    }
    assertThat(new HashSet<>(log.stream().map(OrderPlanner.Issued::target).toList()), hasSize(8));
  }
}
