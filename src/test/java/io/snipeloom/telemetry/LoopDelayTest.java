package io.snipeloom.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class LoopDelayTest {
  private static final long MILLI = 1_000_000L;

  private final LoopDelay delay = new LoopDelay(50, 0);

  @Test
  void loopThatRunsItsTaskInTimeIsNotLate() {
    assertThat(delay.millis(40 * MILLI), is(0L));
    assertThat(delay.onTick(50 * MILLI), is(0L));
    assertThat(delay.millis(100 * MILLI), is(0L));
  }

  @Test
  void blockedLoopIsLateUntilItsTaskRuns() {
    assertThat(delay.millis(1_050 * MILLI), is(1_000L));
    assertThat(delay.onTick(1_060 * MILLI), is(1_010L));
    assertThat(delay.millis(1_070 * MILLI), is(0L));
  }
}
