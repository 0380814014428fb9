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
  private static final WeightStoreRate FAST = new WeightStoreRate(100, Duration.ofMillis(1));

  private static OrderPlanner.Replica replica(int number, boolean ready, boolean done) {
    Set<String> loaded = done ? Set.of("v2") : Set.of("v1");
    return new OrderPlanner.Replica(
        InstanceId.of("s" + number), ready, Set.of(FakeLink.MODEL), loaded);
  }

  /** Replicas whose orders take effect late, seen by planners whose views and logs lag. */
  private static final class Rollout {
    private final SplittableRandom random;
    private final boolean[] ready;
    private final boolean[] done;
    private final List<OrderPlanner.Issued> log = new ArrayList<>();
    private final List<List<OrderPlanner.Replica>> views = new ArrayList<>();

    Rollout(SplittableRandom random) {
      this.random = random;
      ready = new boolean[2 + random.nextInt(5)];
      done = new boolean[ready.length];
      Arrays.fill(ready, true);
    }

    void step() {
      views.add(view());
      if (random.nextInt(3) == 0) {
        int changing = random.nextInt(ready.length);
        done[changing] |= !ready[changing];
        ready[changing] = true;
      } else {
        planOnce();
      }
    }

    private List<OrderPlanner.Replica> view() {
      List<OrderPlanner.Replica> view = new ArrayList<>();
      for (int i = 0; i < ready.length; i++) {
        view.add(replica(i, ready[i], done[i]));
      }
      return view;
    }

    private void planOnce() {
      var view = views.get(Math.max(0, views.size() - 1 - random.nextInt(4)));
      var known = log.subList(0, Math.max(0, log.size() - random.nextInt(3)));
      var orders = OrderPlanner.of(FAST, 1 + random.nextInt(3)).plan(ORDER, view, known, 0);
      for (DecisionRecord order : orders) {
        InstanceId target = ((DecisionRecord.OrderIssued) order).target();
        log.add(new OrderPlanner.Issued(target, ORDER, log.size(), 0));
        int index = Integer.parseInt(target.value().substring(1));
        ready[index] &= done[index];
      }
    }

    boolean anyReady() {
      for (boolean one : ready) {
        if (one) {
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
  void rolloutByLaggingPlannersNeverDropsTheLastReadyReplica() {
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
  void onlyReplicaIsNeverInterrupted() {
    assertThat(
        OrderPlanner.of(FAST, 1).plan(ORDER, List.of(replica(0, true, false)), List.of(), 0),
        hasSize(0));
  }

  @Test
  void planIsTheSameForEveryPlannerAndEmptyOnceIssued() {
    List<OrderPlanner.Replica> view = List.of(replica(0, true, false), replica(1, true, false));
    OrderPlanner planner = OrderPlanner.of(FAST, 1);
    List<DecisionRecord> first = planner.plan(ORDER, view, List.of(), 0);
    assertThat(planner.plan(ORDER, view, List.of(), 0), is(first));
    var issued = List.of(new OrderPlanner.Issued(InstanceId.of("s0"), ORDER, 1, 0));
    assertThat(planner.plan(ORDER, view, issued, 0), hasSize(0));
  }

  @Test
  void weightStoreRateHoldsFleetWide() {
    WeightStoreRate rate = new WeightStoreRate(2, Duration.ofSeconds(10));
    EngineOrder load = new EngineOrder(EngineOrder.Action.LOAD_MODEL, "m2");
    List<OrderPlanner.Replica> view = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      view.add(replica(i, true, false));
    }
    List<OrderPlanner.Issued> log = new ArrayList<>();
    for (int second = 0; second <= 60; second++) {
      long now = second * TrialClock.SECOND;
      for (DecisionRecord order : OrderPlanner.of(rate, 50).plan(load, view, log, now)) {
        InstanceId target = ((DecisionRecord.OrderIssued) order).target();
        log.add(new OrderPlanner.Issued(target, load, log.size(), now));
      }
      assertThat(log.size(), is(lessThanOrEqualTo(2 + second / 10)));
    }
    assertThat(new HashSet<>(log.stream().map(OrderPlanner.Issued::target).toList()), hasSize(8));
  }
}
