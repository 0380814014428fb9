package io.snipeloom.crashes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which replicas count as ended under a request. */
class RequestCrashCountsTest {
  private static final RequestTrait REQUEST = new RequestTrait(RequestTrait.Kind.REQUEST, "f00d");

  private final RequestCrashCounts counts = new RequestCrashCounts();

  @Test
  void replicaCountsOnce() {
    assertThat(counts.add(REQUEST, "app", "i-1", 10, true), is(true));
    assertThat(counts.add(REQUEST, "app", "i-1", 12, true), is(false));
    assertThat(counts.certainCount(REQUEST), is(1));
  }

  /** Guards against a request that is sent on before it is known that the third replica ended. */
  @Test
  void lastReplicaThatMayEndCountsFromItsBrokenConnectionOn() {
    counts.add(REQUEST, "app", "i-1", 10, true);
    counts.add(REQUEST, "app", "i-2", 10, true);
    counts.add(REQUEST, "app", "i-3", 10, false);
    assertThat(counts.count(REQUEST), is(RequestCrashCounts.MAX_CRASHES));
    counts.onAlive(REQUEST, "i-3");
    assertThat(counts.count(REQUEST), is(2));
  }

  /** Guards against a sound request that is refused while connections to live replicas break. */
  @Test
  void brokenConnectionsAloneDoNotCount() {
    for (int i = 1; i <= 9; i++) {
      counts.add(REQUEST, "app", "i-" + i, 10, false);
    }
    assertThat(counts.count(REQUEST), is(0));
  }

  @Test
  void replicaThatEndedForCertainStaysCounted() {
    counts.add(REQUEST, "app", "i-1", 10, false);
    assertThat(counts.add(REQUEST, "app", "i-1", 10, true), is(true));
    counts.onAlive(REQUEST, "i-1");
    assertThat(counts.count(REQUEST), is(1));
  }

  /** Guards against a request that is sound at one service and crashes the replicas of another. */
  @Test
  void completedRunEndsTheEarlierCrashesOfItsServiceOnly() {
    counts.add(REQUEST, "app", "i-1", 10, true);
    counts.add(REQUEST, "other", "i-2", 10, true);
    assertThat(counts.onCompleted(REQUEST, "app", 11), is(true));
    assertThat(counts.count(REQUEST), is(1));
  }

  /** Guards against a run that began before the request crashed replicas and proves nothing. */
  @Test
  void completedRunThatWasSentBeforeTheCrashEndsNothing() {
    counts.add(REQUEST, "app", "i-1", 10, true);
    assertThat(counts.onCompleted(REQUEST, "app", 9), is(false));
    assertThat(counts.count(REQUEST), is(1));
  }

  @Test
  void onlyRequestsBeyondTheLimitExplainTheEndOfTheirReplicas() {
    for (int i = 1; i <= RequestCrashCounts.MAX_CRASHES; i++) {
      counts.add(REQUEST, "app", "i-" + i, 10, true);
    }
    assertThat(counts.crashingByReplica(), is(Map.of()));
    counts.add(REQUEST, "app", "i-9", 10, true);
    assertThat(counts.crashingByReplica().get("i-9"), is(Set.of("f00d")));
  }
}
