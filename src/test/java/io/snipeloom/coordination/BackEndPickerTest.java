package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.Urgency;
import io.snipeloom.state.Zone;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class BackEndPickerTest {
  private static final int PICKS = 500;

  private final VirtualClock clock = new VirtualClock();
  private final SplittableRandom random = new SplittableRandom(7);

  private BackEnds fleet(int size) {
    List<BackEnd> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      members.add(FakeLink.backEnd("s" + i, "z" + i % 3, clock));
    }
    return BackEnds.of(members);
  }

  private RouteRequest request(Urgency urgency, Set<InstanceId> excluded) {
    PrefixChain prefix = PrefixChain.ofHashes(11, 12, 13, 14);
    return new RouteRequest(FakeLink.MODEL, Zone.of("z0"), prefix, urgency, 0, excluded);
  }

  private BackEndPicker picker(RoutingPolicy policy, BackEnd prefixHolder) {
    PrefixIndex prefixes = PrefixIndex.of(1024, clock);
    prefixes.recordSend(prefixHolder, PrefixChain.ofHashes(11, 12, 13, 14));
    return BackEndPicker.of(policy, prefixes, clock);
  }

  private void assertNeverPicked(
      RoutingPolicy policy, BackEnds fleet, BackEnd ineligible, RouteRequest request) {
    BackEndPicker picker = picker(policy, ineligible);
    for (int i = 0; i < PICKS; i++) {
      assertThat(picker.pick(request, fleet, random).orElseThrow(), is(not(equalTo(ineligible))));
    }
  }

  @ParameterizedTest
  @EnumSource
  void neverPicksLeavingBackEnd(RoutingPolicy policy) {
    for (int size : new int[] {4, 40}) {
      BackEnds fleet = fleet(size);
      FakeLink.of(fleet.all().get(0)).leaving = true;
      assertNeverPicked(policy, fleet, fleet.all().get(0), request(Urgency.PROMPT, Set.of()));
    }
  }

  @ParameterizedTest
  @EnumSource
  void neverPicksWithdrawnOrReservedBackEnd(RoutingPolicy policy) {
    BackEnds fleet = fleet(4);
    fleet.all().get(0).setWithdrawn(true);
    assertNeverPicked(policy, fleet, fleet.all().get(0), request(Urgency.PROMPT, Set.of()));
    fleet.all().get(1).setReserved(true);
    assertNeverPicked(policy, fleet, fleet.all().get(1), request(Urgency.PROMPT, Set.of()));
  }

  @ParameterizedTest
  @EnumSource
  void neverPicksExcludedBackEnd(RoutingPolicy policy) {
    for (int size : new int[] {4, 40}) {
      BackEnds fleet = fleet(size);
      BackEnd ineligible = fleet.all().get(0);
      assertNeverPicked(
          policy, fleet, ineligible, request(Urgency.PROMPT, Set.of(ineligible.id())));
    }
  }

  @ParameterizedTest
  @EnumSource
  void neverPicksBackEndWithOpenCircuit(RoutingPolicy policy) {
    for (int size : new int[] {4, 40}) {
      BackEnds fleet = fleet(size);
      BackEnd ineligible = fleet.all().get(0);
      for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
        ineligible.circuit().onFailure(clock.getAsLong(), random);
      }
      assertNeverPicked(policy, fleet, ineligible, request(Urgency.PROMPT, Set.of()));
    }
  }

  @ParameterizedTest
  @EnumSource
  void picksOnlyUsableBackEndOrNone(RoutingPolicy policy) {
    BackEnds fleet = fleet(40);
    fleet.all().forEach(backEnd -> backEnd.setWithdrawn(true));
    BackEnd onlyUsable = fleet.all().get(39);
    BackEndPicker picker = picker(policy, fleet.all().get(0));
    RouteRequest request = request(Urgency.PROMPT, Set.of());
    assertThat(picker.pick(request, fleet, random), is(Optional.empty()));
    onlyUsable.setWithdrawn(false);
    assertThat(picker.pick(request, fleet, random), is(Optional.of(onlyUsable)));
  }
}
