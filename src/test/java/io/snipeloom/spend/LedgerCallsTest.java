package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when calls of the ledger count as slow, so that tokens are borrowed meanwhile. */
class LedgerCallsTest {
  private final LedgerCalls calls = new LedgerCalls();

  /** Guards against a chain of conflicts that never counts as slow, since each call is quick. */
  @Test
  void callsThatMeetConflictsAreSlowTogether() {
    start(0);
    calls.onConflict();
    start(80);
    calls.onResponse();
    start(100);
    assertThat(calls.isSlow(nanos(130)), is(true));
    calls.onAppended();
    start(140);
    assertThat(calls.isSlow(nanos(150)), is(false));
  }

  /** Guards against a conflict long ago that makes each later read count as slow. */
  @Test
  void conflictIsOverWhenNothingIsLeftToWrite() {
    start(0);
    calls.onConflict();
    start(10);
    calls.onResponse();
    calls.onIdle();
    start(5_000);
    assertThat(calls.isSlow(nanos(5_010)), is(false));
    assertThat(calls.isSlow(nanos(5_121)), is(true));
  }

  @Test
  void nextCallWaitsAfterFailure() {
    start(0);
    calls.onFailed(nanos(20));
    assertThat(calls.mayStart(nanos(100)), is(false));
    assertThat(calls.mayStart(nanos(170)), is(true));
    assertThat(calls.hasFailed(), is(true));
  }

  private void start(long nowMillis) {
    assertThat(calls.mayStart(nanos(nowMillis)), is(true));
    calls.onStart();
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
