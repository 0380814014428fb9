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

  private final TrialClock clock = new TrialClock();
  private final SplittableRandom random = new SplittableRandom(7);
  private final Map<String, FakeLink> links = new HashMap<>();
  private final List<SidecarLink> closed = new ArrayList<>();
  private final List<Instance> all = new ArrayList<>();
  private List<Instance> listed;
  private FleetMembership membership;

  private final class Factory implements SidecarLinkFactory {
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
  void startTogether() {
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
            new Factory(),
            upstream -> Set.of(FakeLink.MODEL),
            clock,
            random,
            new MetricRegistry());
    clock.after(0, membership::pollList);
    clock.every(FleetMembership.LIST_PERIOD.toNanos(), membership::pollList);
    clock.every(FleetMembership.LINK_PERIOD.toNanos(), membership::observeLinks);
    run(10);
  }

  private List<Instance> list() {
    if (listed == null) {
      throw SnipeloomException.of(ErrorCode.NOT_READY, "the list does not answer");
    }
    return listed;
  }

  private void run(long seconds) {
    clock.runUntil(clock.getAsLong() + seconds * TrialClock.SECOND);
  }

  private List<BackEnd> members() {
    return membership.backEnds(FakeLink.UPSTREAM).all();
  }

  private long usable() {
    return members().stream().filter(BackEnd::takesNewWork).count();
  }

  private BackEnd member(String id) {
    return members().stream().filter(m -> m.id().value().equals(id)).findFirst().orElseThrow();
  }

  private void listWithout(int removed) {
    listed = all.subList(0, all.size() - removed);
  }

  @Test
  void joinsEverySidecarOfSmallFleet() {
    assertThat(members(), hasSize(SIDECARS));
    assertThat(usable(), is((long) SIDECARS));
  }

  @Test
  void leavingByConnectionWinsAtOnceOverLaggingList() {
    BackEnd leaving = member("s1");
    links.get("s1").leaving = true;
    assertThat(leaving.tryBegin(Urgency.PROMPT, clock.getAsLong()), is(false));
    run(60);
    assertThat(member("s1").takesNewWork(), is(false));
  }

  @Test
  void newIncarnationTakesWorkAgainThoughTheListSaysLeaving() {
    Instance old = all.get(1);
    List<Instance> lagging = new ArrayList<>(all);
    lagging.set(
        1,
        new Instance(
            old.id(), old.role(), old.zone(), old.upstream(), old.address(), old.port(), true));
    listed = lagging;
    run(5);
    assertThat(member("s0").takesNewWork(), is(false));
    links.get("s0").generation++;
    run(5);
    assertThat(member("s0").takesNewWork(), is(true));
  }

  @Test
  void listOutageFreezesTheView() {
    listed = null;
    run(600);
    assertThat(usable(), is((long) SIDECARS));
  }

  @Test
  void emptyOrTinyListIsNotBelievedAgainstLiveConnections() {
    listed = List.of();
    run(600);
    assertThat(usable(), is((long) SIDECARS));
    listWithout(SIDECARS - 1);
    run(600);
    assertThat(usable(), is((long) SIDECARS));
    assertThat(closed, hasSize(0));
  }

  @Test
  void forgottenSidecarKeepsOpenWorkButGetsNoNewWorkAfterTheGrace() {
    BackEnd last = member("s8");
    assertThat(last.tryBegin(Urgency.PROMPT, clock.getAsLong()), is(true));
    final long began = clock.getAsLong();
    listWithout(1);
    run(FleetView.UNLISTED_GRACE.toSeconds() - 5);
    assertThat(last.takesNewWork(), is(true));
    run(10);
    assertThat(last.takesNewWork(), is(false));
    run(300);
    assertThat(closed, hasSize(0));
    last.end(BackEnd.Outcome.ANSWERED, began, clock.getAsLong(), random);
    run(5);
    assertThat(closed, hasSize(1));
  }

  @Test
  void lostZoneIsForgottenAndItsReturnIsSpreadOverTime() {
    final List<Instance> rest =
        all.stream().filter(instance -> !instance.zone().value().equals("z2")).toList();
    links.values().stream()
        .filter(link -> link.instance().zone().value().equals("z2"))
        .forEach(link -> link.connected = false);
    run(1);
    assertThat(usable(), is(6L));
    listed = rest;
    run(120);
    assertThat(members(), hasSize(6));
    listed = all;
    run(10);
    assertThat(usable(), is((long) SIDECARS));
  }
}
