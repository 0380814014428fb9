package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which availability zones are being evacuated, by what the store shows. */
class EvacuationsTest {
  private static final long SECOND = 1_000_000_000L;

  private final Evacuations evacuations = new Evacuations();
  private long now = 100 * SECOND;

  @Test
  void recordBeginsAndEndsAnEvacuationAtOnce() {
    assertThat(evacuations.order("a"), is(true));
    assertThat("the same order again", evacuations.order("a"), is(false));
    assertThat(evacuations.contains("a"), is(true));
    assertThat(evacuations.takeBack("a"), is(true));
    assertThat(evacuations.contains("a"), is(false));
    assertThat(evacuations.takeBack("a"), is(false));
  }

  @Test
  void listingBeginsEvacuations() {
    assertThat(evacuations.replaceAll(List.of("a", "b"), now), is(Set.of("a", "b")));
    assertThat(evacuations.contains("b"), is(true));
  }

  /** Guards against an outdated listing that sends requests to a zone that is being evacuated. */
  @Test
  void evacuationMissingFromListingGoesOnUntilTheListingCannotBeOutdated() {
    evacuations.order("a");
    evacuations.replaceAll(List.of(), now);
    assertThat(evacuations.endMissing(now + 4 * SECOND), is(empty()));
    assertThat(evacuations.contains("a"), is(true));
    assertThat(evacuations.endMissing(now + 5 * SECOND), is(Set.of("a")));
    assertThat(evacuations.contains("a"), is(false));
  }

  @Test
  void evacuationThatIsListedAgainGoesOn() {
    evacuations.order("a");
    evacuations.replaceAll(List.of(), now);
    evacuations.replaceAll(List.of("a"), now + SECOND);
    assertThat(evacuations.endMissing(now + 60 * SECOND), is(empty()));
    evacuations.replaceAll(List.of(), now);
    evacuations.order("a");
    assertThat(evacuations.endMissing(now + 60 * SECOND), is(empty()));
  }

  /** Guards against a store that is back from a copy older than the order. */
  @Test
  void evacuationThatTheStoreHasLostEndsOnlyByRecord() {
    evacuations.order("a");
    evacuations.onStoreReverted();
    evacuations.replaceAll(List.of(), now);
    assertThat(evacuations.endMissing(now + 60 * SECOND), is(empty()));
    assertThat(evacuations.takeBack("a"), is(true));
  }

  @Test
  void evacuationThatIsInTheCopyEndsAsAnyOther() {
    evacuations.order("a");
    evacuations.onStoreReverted();
    evacuations.replaceAll(List.of("a"), now);
    evacuations.replaceAll(List.of(), now);
    assertThat(evacuations.endMissing(now + 5 * SECOND), is(Set.of("a")));
  }
}
