package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests when an instance may use a share of a bound, and whom it shares it with. */
class ShareRosterTest {
  private static final long SECOND = 1_000_000_000L;

  private final ShareRoster roster = new ShareRoster();

  /** Guards against an instance that starts and sends before the others count it in. */
  @Test
  void instanceIsNotEntitledUntilTheOthersMustHaveSeenIt() {
    heartbeats(0, 10);
    assertThat(roster.isEntitled(12 * SECOND), is(false));
    heartbeats(15, 15);
    assertThat(roster.isEntitled(15 * SECOND), is(true));
  }

  /** Guards against an instance that is cut off and sends on while others take its place. */
  @Test
  void instanceIsNotEntitledWhileTheStoreDoesNotAnswer() {
    heartbeats(0, 20);
    assertThat(roster.isEntitled(31 * SECOND), is(true));
    assertThat(roster.isEntitled(32 * SECOND), is(false));
    assertThat("a listing alone", isEntitledAfterListing(33), is(false));
  }

  /** Guards against an instance that is back and sends before the others count it in again. */
  @Test
  void instanceThatWasAwayWaitsAgain() {
    heartbeats(0, 20);
    heartbeats(40, 50);
    assertThat(roster.isEntitled(50 * SECOND), is(false));
    heartbeats(55, 55);
    assertThat(roster.isEntitled(55 * SECOND), is(true));
  }

  /** Guards against a heartbeat that the store accepted long after it was sent. */
  @Test
  void heartbeatThatWasAcceptedLateDoesNotKeepTheInstanceEntitled() {
    heartbeats(0, 20);
    roster.onHeartbeat(21 * SECOND, 34 * SECOND);
    roster.onListing(Map.of(), 34 * SECOND, 34 * SECOND);
    assertThat(roster.isEntitled(34 * SECOND), is(false));
  }

  @Test
  void instanceWithUnchangedHeartbeatIsStruckOffLaterThanItIsEntitled() {
    roster.onListing(Map.of("edge-1", "a 1", "edge-2", "b 1"), 0, 0);
    roster.onListing(Map.of("edge-1", "a 2", "edge-2", "b 1"), 14 * SECOND, 14 * SECOND);
    assertThat(roster.members(), containsInAnyOrder("edge-1", "edge-2"));
    roster.onListing(Map.of("edge-1", "a 3", "edge-2", "b 1"), 15 * SECOND, 15 * SECOND);
    assertThat(roster.members(), containsInAnyOrder("edge-1"));
    roster.onListing(Map.of("edge-1", "a 4", "edge-2", "b 2"), 20 * SECOND, 20 * SECOND);
    assertThat(roster.members(), containsInAnyOrder("edge-1", "edge-2"));
  }

  /** Guards against a listing of a store back from an older copy that lacks an instance. */
  @Test
  void instanceThatListingLacksIsNotStruckOffAtOnce() {
    roster.onListing(Map.of("edge-1", "a 1", "edge-2", "b 1"), 0, 0);
    roster.onListing(Map.of("edge-1", "a 1"), 5 * SECOND, 5 * SECOND);
    assertThat(roster.members(), containsInAnyOrder("edge-1", "edge-2"));
  }

  private boolean isEntitledAfterListing(long second) {
    roster.onListing(Map.of(), second * SECOND, second * SECOND);
    return roster.isEntitled(second * SECOND);
  }

  /** Records a heartbeat and a listing every five seconds. */
  private void heartbeats(long fromSecond, long toSecond) {
    for (long second = fromSecond; second <= toSecond; second += 5) {
      roster.onHeartbeat(second * SECOND, second * SECOND);
      roster.onListing(Map.of(), second * SECOND, second * SECOND);
    }
  }
}
