package io.snipeloom.cost;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Tests what is learned of the pace of a replica, and how soon it is forgotten. */
class ReplicaPaceTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;

  private final ReplicaPace pace = new ReplicaPace();
  private long now = SECOND_NANOS;

  private void observe(double ratio, int count) {
    for (int i = 0; i < count; i++) {
      now += 100 * MILLI_NANOS;
      pace.onObserved(ratio, now);
    }
  }

  private double paceAfter(long millis) {
    return pace.factor(now + millis * MILLI_NANOS);
  }

  @Test
  void paceIsUsualWhileNothingIsKnown() {
    assertThat(paceAfter(0), is(1.0));
  }

  /** Load: a replica at 0.6 of the usual speed. */
  @Test
  void lastingPaceIsFoundAndKept() {
    observe(1.67, 20);
    assertThat(paceAfter(0), closeTo(1.67, 0.25));
    assertThat("a minute without requests", paceAfter(60_000), closeTo(1.6, 0.25));
  }

  /** Load: one answer that takes ten times as long. */
  @Test
  void oneSlowAnswerDoesNotCondemn() {
    observe(1, 20);
    observe(10, 1);
    assertThat(paceAfter(0), lessThan(1.7));
    assertThat("a second later", paceAfter(1_100), lessThan(1.1));
  }

  /** Load: a replica that turns slow by three and recovers, without stating it. */
  @Test
  void slowedReplicaIsFoundWithinOneSecondAndFoundAgainWhenItRecovers() {
    observe(1, 20);
    observe(3, 8);
    assertThat("within a second", paceAfter(0), greaterThan(1.8));
    observe(1, 24);
    assertThat("after it recovered", paceAfter(0), lessThan(1.25));
  }

  /** Load: hosts whose pace changes each 600 ms, which replicas state. */
  @Test
  void statedPaceCountsWhileItIsYoungOnly() {
    pace.onStated(250, now);
    assertThat("at once", paceAfter(0), greaterThan(1.5));
    assertThat("after 600 ms", paceAfter(600), lessThan(1.2));
    assertThat("after a second", paceAfter(1_001), is(1.0));
  }

  /** Load: a fast replica that is observed while its host is slow. */
  @Test
  void statedPaceIsNotTakenForLastingOne() {
    for (int i = 0; i < 20; i++) {
      now += 100 * MILLI_NANOS;
      pace.onStated(250, now);
      pace.onObserved(2.5, now);
    }
    assertThat(paceAfter(5_000), closeTo(1, 0.1));
  }

  /** Failure: a statement of another instance that arrives late. */
  @Test
  void olderStatementOfAnotherInstanceDoesNotReplaceYoungerOne() {
    pace.onStated(250, now);
    pace.onToldStated(100, now - 50 * MILLI_NANOS);
    assertThat(paceAfter(0), greaterThan(1.5));
  }

  /** Load: twenty instances that tell each other what they observe; nothing may be told twice. */
  @Test
  void onlyOwnObservationsAreTold() {
    pace.onTold(3, now);
    assertThat(pace.takeObserved().isPresent(), is(false));
    pace.onObserved(2, now);
    assertThat(pace.takeObserved().getAsDouble(), closeTo(2, 0.01));
    assertThat(pace.takeObserved().isPresent(), is(false));
  }
}
