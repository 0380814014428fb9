package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.snipeloom.client.Instance;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import io.snipeloom.state.Urgency;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FleetMembershipTest {
  private static final int SIDECARS = 9;

  private final VirtualClock clock = new VirtualClock();
  private final SplittableRandom random = new SplittableRandom(7);
  private final Map<String, FakeLink> links = new HashMap<>();
  private final List<SidecarLink> closed = new ArrayList<>();
  private final List<Instance> all = new ArrayList<>();

  /** The content of the instance list, or null while the list is unavailable. */
  private List<Instance> listed;

  private FleetMembership membership;

  private final class FakeLinkFactory implements SidecarLinkFactory {
    @Override
    public SidecarLink open(Instance instance) {
      FakeLink link = new FakeLink(instance, clock);
      links.put(instance.id().value(), link);
      return link;
    }

    @Override
    public void close(SidecarLink link) {
      closed.add(link);
    }
  }

  @BeforeEach
  void startFleet() {
    Instance self = FakeLink.router("r0", "z0");
    all.add(self);
    for (int i = 0; i < SIDECARS; i++) {
      all.add(FakeLink.sidecar("s" + i, "z" + i % 3));
    }
    listed = all;
    membership =
        FleetMembership.of(
            self,
            this::list,
            new FakeLinkFactory(),
            upstream -> Set.of(FakeLink.MODEL),
            clock,
            random,
            new MetricRegistry());
    clock.runAfter(0, membership::pollList);
    clock.runEvery(FleetMembership.LIST_PERIOD.toNanos(), membership::pollList);
    clock.runEvery(FleetMembership.LINK_PERIOD.toNanos(), membership::observeLinks);
    runFor(10);
  }

  private List<Instance> list() {
    if (listed == null) {
      throw SnipeloomException.of(ErrorCode.NOT_READY, "instance list is unavailable");
    }
    return listed;
  }

  private void runFor(long seconds) {
    clock.runUntil(clock.getAsLong() + seconds * VirtualClock.SECOND);
  }

  private List<BackEnd> members() {
    return membership.backEnds(FakeLink.UPSTREAM).all();
  }

  private long usableCount() {
    return members().stream().filter(BackEnd::takesNewWork).count();
  }

  private BackEnd member(String id) {
    return members().stream().filter(m -> m.id().value().equals(id)).findFirst().orElseThrow();
  }

  private void listWithoutLast(int count) {
    listed = all.subList(0, all.size() - count);
  }

  @Test
  void connectsToEverySidecarOfSmallFleet() {
    assertThat(members(), hasSize(SIDECARS));
    assertThat(usableCount(), is((long) SIDECARS));
  }

  @Test
  void leavingReportedByLinkOverridesStaleList() {
    BackEnd leaving = member("s1");
    links.get("s1").leaving = true;
    assertThat(leaving.tryBegin(Urgency.PROMPT, clock.getAsLong()), is(false));
    runFor(60);
    assertThat(member("s1").takesNewWork(), is(false));
  }

  @Test
  void newIncarnationTakesWorkWhileStaleListSaysLeaving() {
    Instance old = all.get(1);
    List<Instance> stale = new ArrayList<>(all);
    stale.set(
        1,
        new Instance(
            old.id(), old.role(), old.zone(), old.upstream(), old.address(), old.port(), true));
    listed = stale;
    runFor(5);
    assertThat(member("s0").takesNewWork(), is(false));
    links.get("s0").generation++;
    runFor(5);
    assertThat(member("s0").takesNewWork(), is(true));
  }

  @Test
  void membersAreKeptWhileListIsUnavailable() {
    listed = null;
    runFor(600);
    assertThat(usableCount(), is((long) SIDECARS));
  }

  @Test
  void emptyOrTruncatedListIsIgnoredWhileLinksAreConnected() {
    listed = List.of();
    runFor(600);
    assertThat(usableCount(), is((long) SIDECARS));
    listWithoutLast(SIDECARS - 1);
    runFor(600);
    assertThat(usableCount(), is((long) SIDECARS));
    assertThat(closed, hasSize(0));
  }

  @Test
  void unlistedSidecarFinishesOpenWorkButGetsNoNewWorkAfterGrace() {
    BackEnd last = member("s8");
    assertThat(last.tryBegin(Urgency.PROMPT, clock.getAsLong()), is(true));
    final long beganNanos = clock.getAsLong();
    listWithoutLast(1);
    runFor(FleetView.UNLISTED_GRACE.toSeconds() - 5);
    assertThat(last.takesNewWork(), is(true));
    runFor(10);
    assertThat(last.takesNewWork(), is(false));
    runFor(300);
    assertThat(closed, hasSize(0));
    last.end(BackEnd.Outcome.ANSWERED, beganNanos, clock.getAsLong(), random);
    runFor(5);
    assertThat(closed, hasSize(1));
  }

  @Test
  void lostZoneIsRemovedAndRejoinsWhenListedAgain() {
    final List<Instance> remaining =
        all.stream().filter(instance -> !instance.zone().value().equals("z2")).toList();
    links.values().stream()
        .filter(link -> link.instance().zone().value().equals("z2"))
        .forEach(link -> link.connected = false);
    runFor(1);
    assertThat(usableCount(), is(6L));
    listed = remaining;
    runFor(120);
    assertThat(members(), hasSize(6));
    listed = all;
    runFor(10);
    assertThat(usableCount(), is((long) SIDECARS));
  }
}
