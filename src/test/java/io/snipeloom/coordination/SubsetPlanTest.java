package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.snipeloom.client.Instance;
import io.snipeloom.state.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SubsetPlanTest {
  private static final int ROUTERS = 2_200;
  private static final int SIDECARS_PER_UPSTREAM = 7_900 / 15;
  private static final int ZONES = 7;

  private static List<Instance> routers(int count) {
    List<Instance> routers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      routers.add(FakeLink.router("router-" + i, "z" + i % ZONES));
    }
    return routers;
  }

  private static List<Instance> sidecars(int count) {
    List<Instance> sidecars = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sidecars.add(FakeLink.sidecar("sidecar-" + i, "z" + i % ZONES));
    }
    return sidecars;
  }

  private static Map<InstanceId, Set<InstanceId>> plan(
      List<Instance> routers, List<Instance> sidecars) {
    SubsetPlan plan = SubsetPlan.of(routers);
    Map<InstanceId, Set<InstanceId>> links = new HashMap<>();
    routers.forEach(router -> links.put(router.id(), plan.chosen(router, sidecars)));
    return links;
  }

  @Test
  void smallFleetIsFullyConnected() {
    plan(routers(4), sidecars(13)).values().forEach(links -> assertThat(links, hasSize(13)));
  }

  @Test
  void routersAreSpreadEvenlyOverSidecarsAtPlannedFleetSize() {
    Map<InstanceId, Set<InstanceId>> links =
        plan(routers(ROUTERS), sidecars(SIDECARS_PER_UPSTREAM));
    Map<InstanceId, Integer> routersOfSidecar = new HashMap<>();
    links.values().forEach(set -> set.forEach(id -> routersOfSidecar.merge(id, 1, Integer::sum)));
    IntSummaryStatistics perSidecar =
        routersOfSidecar.values().stream().mapToInt(Integer::intValue).summaryStatistics();
    IntSummaryStatistics perRouter =
        links.values().stream().mapToInt(Set::size).summaryStatistics();
    String summary = "routers per sidecar " + perSidecar + ", sidecars per router " + perRouter;
    System.out.println(summary);
    assertThat(summary, routersOfSidecar.size(), is(SIDECARS_PER_UPSTREAM));
    assertThat(summary, perSidecar.getMax(), is(lessThan(perSidecar.getMin() * 5 / 4)));
    assertThat(summary, perRouter.getMin(), is(greaterThanOrEqualTo(SubsetPlan.MIN_SIDECARS)));
    assertThat(summary, perRouter.getMax(), is(lessThan(3 * SubsetPlan.TARGET_SIDECARS)));
  }

  @Test
  void losingOneRouterMovesNoMoreLinksThanItHad() {
    List<Instance> before = routers(ROUTERS);
    List<Instance> after = new ArrayList<>(before);
    final Instance lost = after.remove(77);
    List<Instance> sidecars = sidecars(SIDECARS_PER_UPSTREAM);
    Map<InstanceId, Set<InstanceId>> oldLinks = plan(before, sidecars);
    int opened = 0;
    int closed = 0;
    for (Map.Entry<InstanceId, Set<InstanceId>> entry : plan(after, sidecars).entrySet()) {
      Set<InstanceId> added = new HashSet<>(entry.getValue());
      added.removeAll(oldLinks.get(entry.getKey()));
      opened += added.size();
      Set<InstanceId> removed = new HashSet<>(oldLinks.get(entry.getKey()));
      removed.removeAll(entry.getValue());
      closed += removed.size();
    }
    int lostLinks = oldLinks.get(lost.id()).size();
    String summary = "links lost " + lostLinks + ", opened " + opened + ", closed " + closed;
    System.out.println(summary);
    assertThat(summary, opened, is(lessThan(lostLinks + 1)));
    assertThat(summary, closed, is(lessThan(lostLinks / 2 + 1)));
  }
}
