package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class SilenceLimitsTest {
  private static final long START_NANOS = 5_000;
  private static final long FIRST_NANOS = 1_300;
  private static final long PAUSE_NANOS = 600;

  private final SilenceLimits limits = new SilenceLimits(FIRST_NANOS, PAUSE_NANOS);

  @Test
  void responseThatHasNotBegunIsOverdueAfterTheFirstLimit() {
    assertThat(remaining(false, START_NANOS, START_NANOS + 1_299), is(1L));
    assertThat(remaining(false, START_NANOS, START_NANOS + 1_300), is(0L));
  }

  @Test
  void responseThatHasBegunIsWaitedFor() {
    long last = START_NANOS + 1_200;
    assertThat(remaining(true, last, START_NANOS + FIRST_NANOS), is(500L));
    assertThat(remaining(true, last, last + PAUSE_NANOS - 1), is(1L));
  }

  /** Guards against a response that began and stopped, which was waited for until the timeout. */
  @Test
  void responseThatHasBegunAndStoppedIsOverdue() {
    assertThat(remaining(true, START_NANOS + 1, START_NANOS + FIRST_NANOS), is(0L));
    assertThat(remaining(true, START_NANOS + 1_200, START_NANOS + 1_800), is(0L));
  }

  @Test
  void responseThatGoesOnIsNeverOverdue() {
    long last = START_NANOS + 1_000_000;
    assertThat(remaining(true, last, last), is(PAUSE_NANOS));
  }

  private long remaining(boolean hasBegun, long lastBytesNanos, long nowNanos) {
    return limits.remainingNanos(hasBegun, START_NANOS, lastBytesNanos, nowNanos);
  }
}
