package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.routing.Route;
import io.snipeloom.routing.RouteType;
import io.snipeloom.routing.ServiceShare;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShutdownDeadlineTest {
  private static final long END_NANOS = 100_000_000_000L;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final ShutdownDeadline DEADLINE = ShutdownDeadline.at(END_NANOS);

  @Test
  void everythingMayBeginWhileTheInstanceGoesOn() {
    Route vote = route(RouteType.NON_IDEMPOTENT, false, 100);
    assertThat(ShutdownDeadline.NONE.allows(vote, Long.MAX_VALUE, 0), is(true));
  }

  /** Guards against a vote that runs at a replica and is cut at the end of the grace. */
  @Test
  void requestMustBeAbleToEndBefore() {
    Route vote = route(RouteType.NON_IDEMPOTENT, false, 100);
    assertThat(DEADLINE.allows(vote, END_NANOS, END_NANOS - SECOND_NANOS), is(true));
    assertThat(DEADLINE.allows(vote, END_NANOS + 1, END_NANOS - SECOND_NANOS), is(false));
  }

  @Test
  void streamThatCannotBeResumedMustBeAbleToEndBefore() {
    Route stream = route(RouteType.STREAMING, false, 100);
    assertThat(DEADLINE.allows(stream, END_NANOS + 1, END_NANOS - 4 * SECOND_NANOS), is(false));
  }

  @Test
  void streamThatCanBeResumedNeedOnlyBegin() {
    Route stream = route(RouteType.STREAMING, true, 800);
    long deadline = END_NANOS + 10 * SECOND_NANOS;
    assertThat(DEADLINE.allows(stream, deadline, END_NANOS - 2 * SECOND_NANOS), is(true));
    assertThat(DEADLINE.allows(stream, deadline, END_NANOS - SECOND_NANOS), is(false));
  }

  private static Route route(RouteType type, boolean resumable, long targetMillis) {
    return new Route(
        "route",
        "host",
        "/",
        type,
        12_000,
        targetMillis,
        0,
        1,
        List.of(new ServiceShare("service", 1)),
        1,
        false,
        false,
        resumable);
  }
}
