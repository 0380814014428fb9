package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.routing.Route;
import io.snipeloom.routing.RouteType;
import io.snipeloom.routing.ServiceShare;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownDeadlineTest {
  private static final long BEGIN_NANOS = 100_000_000_000L;
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
  private static final long NEW_CALLERS_NANOS = 2_600 * MILLI_NANOS;
  private static final long STEP_MILLIS = 100;

  /** How late after the signal a request is sent that may be cut, by the rule. */
  private static final long EXCUSED_MILLIS = 3_000;

  private static final Route VOTE = route(RouteType.NON_IDEMPOTENT, false);
  private static final Route LOOK = route(RouteType.IDEMPOTENT, false);
  private static final Route ONCE = route(RouteType.STREAMING, false);
  private static final Route STREAM = route(RouteType.STREAMING, true);
  private static final List<Route> ALL = List.of(VOTE, LOOK, ONCE, STREAM);

  @Test
  void everythingMayBeginWhileTheInstanceGoesOn() {
    assertThat(ShutdownDeadline.NONE.allows(VOTE, Long.MAX_VALUE, Long.MAX_VALUE, 0), is(true));
  }

  /**
   * Guards against requests of any kind that are sent later than a cut is excused, and that can run
   * on when the process ends.
   */
  @ParameterizedTest
  @ValueSource(ints = {5, 8, 10, 30})
  void whatIsSentLateEndsBeforeTheProcessDoes(int graceSeconds) {
    ShutdownDeadline deadline = deadline(graceSeconds);
    for (long sentMillis = EXCUSED_MILLIS; sentMillis < graceSeconds * 1_000L; sentMillis += 100) {
      for (long limitMillis = 100; limitMillis <= 12_000; limitMillis += STEP_MILLIS) {
        long now = BEGIN_NANOS + sentMillis * MILLI_NANOS;
        long limit = now + limitMillis * MILLI_NANOS;
        boolean ends = limit <= deadline.endNanos();
        for (Route route : ALL) {
          // However soon streams like it have ended.
          assertThat(deadline.allows(route, limit, now, now), is(ends));
        }
      }
    }
  }

  /** Guards against a vote that runs at a replica and is cut at the end of the grace. */
  @Test
  void onlyStreamThatCanBeResumedMayBeginWithoutEndingByItsLimit() {
    ShutdownDeadline deadline = deadline(8);
    long limit = deadline.endNanos() + 1;
    for (Route route : List.of(VOTE, LOOK, ONCE)) {
      assertThat(deadline.allows(route, limit, BEGIN_NANOS, BEGIN_NANOS), is(false));
      assertThat(deadline.allows(route, limit - 1, limit, BEGIN_NANOS), is(true));
    }
    assertThat(deadline.allows(STREAM, limit, BEGIN_NANOS, BEGIN_NANOS), is(true));
  }

  /** Guards against streams that begin although those like it take longer than is left. */
  @Test
  void streamOfNewCallerBeginsOnlyIfItIsLikelyToEnd() {
    ShutdownDeadline deadline = deadline(8);
    long limit = BEGIN_NANOS + 10 * SECOND_NANOS;
    long end = deadline.endNanos();
    long last = BEGIN_NANOS + NEW_CALLERS_NANOS - 1;
    assertThat(deadline.allows(STREAM, limit, end, BEGIN_NANOS), is(true));
    assertThat(deadline.allows(STREAM, limit, end + 1, BEGIN_NANOS), is(false));
    assertThat(deadline.allows(STREAM, limit, end, last), is(true));
    assertThat(deadline.allows(STREAM, limit, end, last + 1), is(false));
  }

  private static ShutdownDeadline deadline(int graceSeconds) {
    long endNanos = BEGIN_NANOS + graceSeconds * SECOND_NANOS - 400 * MILLI_NANOS;
    return ShutdownDeadline.at(BEGIN_NANOS + NEW_CALLERS_NANOS, endNanos);
  }

  private static Route route(RouteType type, boolean resumable) {
    return new Route(
        "route",
        "host",
        "/",
        type,
        12_000,
        600,
        0,
        1,
        List.of(new ServiceShare("service", 1)),
        1,
        false,
        false,
        resumable);
  }
}
