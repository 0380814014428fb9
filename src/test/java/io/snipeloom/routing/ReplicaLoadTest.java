package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class ReplicaLoadTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final ReplicaLoad load = new ReplicaLoad();

  @Test
  void ageIsUnknownWithoutReport() {
    assertThat(load.reportAgeMillis(SECOND_NANOS), is(-1L));
    assertThat(load.reportAgeMillis(-SECOND_NANOS), is(-1L));
  }

  /** Guards against a report that counts as missing because the clock shows a negative time. */
  @Test
  void ageOfReportAtNegativeTimeIsKnown() {
    load.onReport(3, 2, -5 * SECOND_NANOS);
    assertThat(load.reportAgeMillis(-4 * SECOND_NANOS), is(1_000L));
    assertThat(load.waiting(-4 * SECOND_NANOS), is(2));
  }
}
