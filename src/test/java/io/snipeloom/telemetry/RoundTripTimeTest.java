package io.snipeloom.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests what the round trips to other instances tell of the link of this one. */
class RoundTripTimeTest {
  private static final long UNKNOWN = -1;

  private final RoundTripTime time = new RoundTripTime();

  @Test
  void slowInstanceDoesNotCountBesideOthers() {
    receive("a", 900, 1_000);
    receive("b", 998, 1_000);
    receive("c", 800, 1_000);
    assertThat(shortestMillis(1_010), is(2L));
  }

  /** Guards against taking two slow instances for a slow link of this one. */
  @Test
  void nothingIsKnownFromTwoInstances() {
    receive("a", 700, 1_000);
    receive("b", 700, 1_000);
    receive("a", 800, 1_001);
    assertThat(shortestMillis(1_010), is(UNKNOWN));
  }

  @Test
  void roundTripIsForgottenAfterTwoSeconds() {
    receive("a", 998, 1_000);
    receive("b", 998, 1_000);
    receive("c", 998, 1_500);
    assertThat(shortestMillis(2_999), is(2L));
    assertThat(shortestMillis(3_001), is(UNKNOWN));
  }

  /** Guards against a link that counts as fast for long after it has become full. */
  @Test
  void laterRoundTripReplacesTheOneBefore() {
    for (String peer : List.of("a", "b", "c")) {
      receive(peer, 998, 1_000);
      receive(peer, 1_100, 1_500);
    }
    assertThat(shortestMillis(1_510), is(400L));
  }

  private void receive(String peer, long sentMillis, long receivedMillis) {
    time.onResponse(peer, nanos(sentMillis), nanos(receivedMillis));
  }

  private long shortestMillis(long nowMillis) {
    return time.shortestMillis(nanos(nowMillis));
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
