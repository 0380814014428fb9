package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class StreamDurationsTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final StreamDurations durations = new StreamDurations();

  @Test
  void longestOfEachRouteCounts() {
    durations.record("a", 3, 0);
    durations.record("a", 2, 1);
    durations.record("b", 9, 1);
    assertThat(durations.longestNanos("a", 2), is(OptionalLong.of(3)));
    assertThat(durations.longestNanos("c", 2), is(OptionalLong.empty()));
  }

  @Test
  void streamIsForgottenAfterTwoPeriodsAtMost() {
    durations.record("a", 3, 0);
    durations.record("a", 1, 31 * SECOND_NANOS);
    assertThat(durations.longestNanos("a", 59 * SECOND_NANOS), is(OptionalLong.of(3)));
    assertThat(durations.longestNanos("a", 61 * SECOND_NANOS), is(OptionalLong.of(1)));
    assertThat(durations.longestNanos("a", 91 * SECOND_NANOS), is(OptionalLong.empty()));
    assertThat(durations.longestNanos("a", 500 * SECOND_NANOS), is(OptionalLong.empty()));
  }
}
