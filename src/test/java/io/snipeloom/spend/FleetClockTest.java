package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests how the clocks of other instances bound the time of a loss of power. */
class FleetClockTest {
  private static final long MILLI = 1_000_000L;
  private static final List<ClockReading> EARLIER =
      List.of(
          new ClockReading("own", 1_000),
          new ClockReading("a", 1_000),
          new ClockReading("b", 1_000),
          new ClockReading("c", 1_000));

  @Test
  void delayOfMessageNeverShortensTheTime() {
    for (long delayMillis : new long[] {0, 5, 300}) {
      FleetClock before = new FleetClock("own", () -> 0);
      FleetClock after = new FleetClock("own", () -> 2_000);
      for (String other : List.of("a", "b", "c")) {
        before.onResponse(other, 900, 900 * MILLI, (900 + delayMillis) * MILLI);
        after.onResponse(other, 2_100, (100 - Math.min(delayMillis, 100)) * MILLI, 100 * MILLI);
      }
      List<ClockReading> reached = before.reachedAt(1_000 * MILLI);
      assertThat(
          after.maxElapsedNanos(reached, 0).getAsLong(), greaterThanOrEqualTo(1_000 * MILLI));
    }
  }

  @Test
  void clocksThatWereSetBackDoNotShortenTheTimeWhileOthersConfirmIt() {
    FleetClock clock = clock(2_000, -1_500, -1_500, 2_000);
    assertThat(clock.maxElapsedNanos(EARLIER, 0).getAsLong(), greaterThanOrEqualTo(1_000 * MILLI));
  }

  @Test
  void oneClockOfFourThatWasSetAheadDoesNotLengthenTheTime() {
    FleetClock clock = clock(2_000, 2_000, 9_000, 2_000);
    assertThat(clock.maxElapsedNanos(EARLIER, 0).getAsLong(), lessThan(1_100 * MILLI));
  }

  @Test
  void timeIsUnknownWithFewerThanThreeClocks() {
    FleetClock clock = new FleetClock("own", () -> 2_000);
    clock.onResponse("a", 2_000, 0, MILLI);
    clock.onResponse("unread", 2_000, 0, MILLI);
    assertThat(clock.maxElapsedNanos(EARLIER, 0), is(OptionalLong.empty()));
  }

  @Test
  void instancesThatNoLongerRespondAreNotRead() {
    FleetClock clock = clock(2_000, 2_000, 2_000, 2_000);
    assertThat(clock.reachedAt(60_000 * MILLI), hasSize(1));
  }

  @Test
  void laterReportsNameTheSameInstances() {
    FleetClock clock = new FleetClock("own", () -> 0);
    FleetClock reordered = new FleetClock("own", () -> 0);
    for (int i = 0; i < 30; i++) {
      clock.onResponse("edge-" + i, 0, 0, 0);
      reordered.onResponse("edge-" + (29 - i), 0, 0, 0);
    }
    assertThat(clock.reachedAt(0), hasSize(FleetClock.MAX_CLOCKS));
    assertThat(reordered.reachedAt(0), is(clock.reachedAt(0)));
  }

  /** Returns a clock that has read the given times of day of itself and of a, b and c. */
  private static FleetClock clock(long own, long first, long second, long third) {
    FleetClock clock = new FleetClock("own", () -> own);
    clock.onResponse("a", first, 0, MILLI);
    clock.onResponse("b", second, 0, MILLI);
    clock.onResponse("c", third, 0, MILLI);
    return clock;
  }
}
