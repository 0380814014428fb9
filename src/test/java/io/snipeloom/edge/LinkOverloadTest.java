package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when an instance sends its callers to other instances because its link is full. */
class LinkOverloadTest {
  private static final long TICK_MILLIS = 50;

  private final LinkOverload overload = new LinkOverload(0);
  private long nowMillis;

  /** Guards against the incident SHORT: the callers stay at an instance whose link is full. */
  @Test
  void fullLinkIsOverloadedWithinOneSecond() {
    run(5_000, 1, 0.3);
    assertThat(millisUntil(true, 40, 0.93), is(lessThanOrEqualTo(1_000L)));
  }

  @Test
  void messagesThatTakeLongToAllInstancesShowOverload() {
    run(5_000, 1, 0.3);
    assertThat(millisUntil(true, 150, 0), is(lessThanOrEqualTo(1_000L)));
  }

  @Test
  void shortPeakIsNoOverload() {
    run(5_000, 1, 0.3);
    run(450, 40, 1);
    run(5_000, 1, 0.3);
    assertThat(overload.isOverloaded(), is(false));
  }

  /** Guards against an instance that starts, reads much from the store and then is not ready. */
  @Test
  void trafficThatDelaysNothingIsNoOverload() {
    run(5_000, 1, 0.3);
    run(5_000, 2, 1);
    assertThat(overload.isOverloaded(), is(false));
  }

  @Test
  void usualTimeBetweenRegionsIsNoOverload() {
    run(5_000, 140, 0.3);
    assertThat(overload.isOverloaded(), is(false));
  }

  @Test
  void unknownLinkIsNotOverloaded() {
    run(5_000, -1, 0);
    assertThat(overload.isOverloaded(), is(false));
  }

  /** Guards against closing connections while the load balancer still opens them here. */
  @Test
  void connectionsAreClosedOnceTheLoadBalancerHasSeenTwoProbesFail() {
    run(5_000, 1, 0.3);
    millisUntil(true, 300, 1);
    assertThat(isRerouted(), is(false));
    run(2_000, 300, 1);
    assertThat(isRerouted(), is(false));
    run(500, 300, 1);
    assertThat(isRerouted(), is(true));
  }

  /** Guards against callers that go to and fro between two instances that they overload. */
  @Test
  void callersThatOverloadTheLinkAgainAreKeptAwayForLonger() {
    long first = holdMillis();
    long second = holdMillis();
    assertThat(first, is(8_000L));
    assertThat(second, is(16_000L));
    for (int i = 0; i < 5; i++) {
      holdMillis();
    }
    assertThat(holdMillis(), is(64_000L));
    run(61_000, 1, 0.2);
    assertThat(holdMillis(), is(8_000L));
  }

  /** Overloads the link and returns how long it is then free until callers are taken again. */
  private long holdMillis() {
    run(1_000, 1, 0.2);
    millisUntil(true, 300, 1);
    run(1_000, 300, 1);
    return millisUntil(false, 1, 0.2);
  }

  private long millisUntil(boolean overloaded, long roundTripMillis, double utilization) {
    long beginMillis = nowMillis;
    while (overload.isOverloaded() != overloaded) {
      run(TICK_MILLIS, roundTripMillis, utilization);
    }
    return nowMillis - beginMillis;
  }

  private void run(long millis, long roundTripMillis, double utilization) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      nowMillis += TICK_MILLIS;
      overload.update(roundTripMillis, utilization, nanos());
    }
  }

  private boolean isRerouted() {
    return overload.isRerouted(nanos());
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }
}
