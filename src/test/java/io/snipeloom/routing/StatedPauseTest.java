package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the times are read that replicas state when they reject requests. */
class StatedPauseTest {
  @Test
  void secondsAndTheirFractionsAreRead() {
    assertThat(StatedPause.parse(List.of(" 1.5 ")).millis(), is(1_500L));
    assertThat(StatedPause.parse(List.of("0")).kind(), is(StatedPause.Kind.STATED));
  }

  @Test
  void longestOfSeveralHolds() {
    assertThat(StatedPause.parse(List.of("2", "x", "7")).millis(), is(7_000L));
  }

  /** Guards against a replica that is never used again because of one absurd answer. */
  @ParameterizedTest
  @ValueSource(strings = {"1000000000000", "1e300", "Infinity"})
  void absurdTimesAreBounded(String value) {
    assertThat(StatedPause.parse(List.of(value)).millis(), is(StatedPause.MAX_MILLIS));
  }

  @ParameterizedTest
  @ValueSource(strings = {"-1", "NaN", "", "soon", "Fri, 04 Dec 2026 13:00:00 GMT"})
  void otherTextsStateNoTime(String value) {
    assertThat(StatedPause.parse(List.of(value)).kind(), is(StatedPause.Kind.UNREADABLE));
  }

  @Test
  void answerWithoutValueStatesNothing() {
    assertThat(StatedPause.parse(List.of()), is(StatedPause.NONE));
  }
}
