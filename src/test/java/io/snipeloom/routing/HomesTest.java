package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests in which availability zones requests may be processed. */
class HomesTest {
  private static final Places PLACES =
      new Places("north", Map.of("n-1", "north", "n-2", "north", "s-1", "south"));

  @Test
  void requestWithoutHomesIsProcessedEverywhere() {
    assertThat(Homes.EVERYWHERE.allows("s-1", PLACES), is(true));
    assertThat("unknown zone", Homes.EVERYWHERE.allows("x-1", PLACES), is(true));
    assertThat("no places", Homes.EVERYWHERE.allows("s-1", Places.UNKNOWN), is(true));
  }

  @Test
  void homesAllowOnlyTheirRegions() {
    Homes homes = Homes.of(Set.of("north"));
    assertThat(homes.allows("n-2", PLACES), is(true));
    assertThat(homes.allows("s-1", PLACES), is(false));
  }

  /** Guards against a zone of which nobody knows where it lies. */
  @Test
  void unknownZoneIsNoHome() {
    assertThat(Homes.of(Set.of("north")).allows("x-1", PLACES), is(false));
    assertThat(Homes.of(Set.of("north")).allows("n-1", Places.UNKNOWN), is(false));
  }

  @Test
  void homesOfRouteAndCustomerBothBind() {
    Homes both = Homes.of(Set.of("north", "south")).and(Homes.of(Set.of("south", "west")));
    assertThat(both, is(Homes.of(Set.of("south"))));
    assertThat(both.and(Homes.EVERYWHERE), is(both));
    assertThat(Homes.EVERYWHERE.and(both), is(both));
    assertThat(
        "no common region",
        Homes.of(Set.of("north")).and(Homes.of(Set.of("south"))),
        is(Homes.NOWHERE));
  }
}
