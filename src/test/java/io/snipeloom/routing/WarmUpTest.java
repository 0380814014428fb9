package io.snipeloom.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests for how long a replica counts as cold, by what its instance knows. */
class WarmUpTest {
  private static final long SECOND = 1_000_000_000L;
  private static final ColdStart COLD_START = ColdStart.of(3, 8.4);

  private final ReplicaLimit limit = new ReplicaLimit(new ReplicaId("i-1"));
  private long now = 100 * SECOND;

  WarmUpTest() {
    limit.changeColdStart(COLD_START);
  }

  /** Guards against a replica that appears during traffic and gets its full load at once. */
  @Test
  void replicaThatAppearsIsColdForTheTimeOfOneStart() {
    limit.warmUp().onFirstEntry(entry(1, ColdReport.of(0)), true, now);
    assertThat(coldMillis(), is(3_000L));
    now += 3 * SECOND;
    assertThat(coldMillis(), is(0L));
  }

  /** Guards against an instance that starts with the fleet and restrains warm replicas. */
  @Test
  void replicaOfTheFirstListingIsColdAsItsEntrySays() {
    limit.warmUp().onFirstEntry(entry(1, ColdReport.of(0)), false, now);
    assertThat(coldMillis(), is(0L));
    assertThat(limit.isWarmingUp(now), is(false));
    ReplicaLimit other = new ReplicaLimit(new ReplicaId("i-2"));
    other.changeColdStart(COLD_START);
    other.warmUp().onFirstEntry(entry(1, ColdReport.of(1_200)), false, now);
    assertThat(other.coldMillis(now), is(1_200L));
  }

  /** Guards against a first listing whose entries do not say, or cannot be read. */
  @Test
  void entryThatDoesNotSayMeansTheWholeStart() {
    for (ColdReport report : List.of(ColdReport.NONE, ColdReport.UNREADABLE, ColdReport.of(-1))) {
      ReplicaLimit other = new ReplicaLimit(new ReplicaId("i-2"));
      other.changeColdStart(COLD_START);
      other.warmUp().onFirstEntry(entry(1, report), false, now);
      assertThat(report.toString(), other.coldMillis(now), is(3_000L));
    }
  }

  @Test
  void laterEntryThatSaysZeroEndsWhatEntriesBegan() {
    limit.warmUp().onFirstEntry(entry(1, ColdReport.of(3_000)), true, now);
    limit.warmUp().onEntry(entry(2, ColdReport.of(0)), now + SECOND);
    now += SECOND;
    assertThat(coldMillis(), is(0L));
  }

  /** Guards against an outdated listing that ends the cold time of a replica. */
  @Test
  void olderEntryChangesNothing() {
    limit.warmUp().onFirstEntry(entry(5, ColdReport.of(3_000)), true, now);
    limit.warmUp().onEntry(entry(4, ColdReport.of(0)), now);
    limit.warmUp().onEntry(entry(5, ColdReport.of(0)), now);
    assertThat(coldMillis(), is(3_000L));
  }

  /** Guards against an entry written before the replica was down that ends what was seen after. */
  @Test
  void entryDoesNotEndWhatWasObserved() {
    limit.warmUp().onFirstEntry(entry(1, ColdReport.of(0)), false, now);
    limit.warmUp().onPossibleStart(now);
    limit.warmUp().onEntry(entry(2, ColdReport.of(0)), now + 1);
    assertThat(coldMillis(), is(3_000L));
  }

  /** Guards against a replica that becomes cold again with no entry that says so. */
  @Test
  void replicaThatWasOutOfReachIsColdFromTheMomentItIsReached() {
    limit.warmUp().onFirstEntry(entry(1, ColdReport.of(0)), false, now);
    limit.warmUp().onOutOfReach(now);
    assertThat("while it is out of reach", coldMillis(), greaterThan(0L));
    now += 4 * SECOND;
    limit.onReached(now);
    assertThat(coldMillis(), is(3_000L));
    now += 3 * SECOND;
    limit.onReached(now);
    assertThat("reached again", coldMillis(), is(0L));
  }

  /** Guards against an instance without a share that never uses a replica again. */
  @Test
  void replicaThatWasOutOfReachLongAgoIsNotCold() {
    limit.warmUp().onOutOfReach(now);
    now += 9 * SECOND;
    assertThat(coldMillis(), is(0L));
  }

  @Test
  void answerSaysHowLongTheReplicaStaysCold() {
    limit.onColdReport(ColdReport.parse(List.of("2500")), now, now);
    assertThat(coldMillis(), is(2_500L));
    limit.onColdReport(ColdReport.parse(List.of("0")), now - 1, now);
    assertThat("request sent before", coldMillis(), is(2_500L));
    limit.onColdReport(ColdReport.parse(List.of("0")), now, now);
    assertThat("request sent after", coldMillis(), is(0L));
  }

  @Test
  void valuesThatCannotBeMeantAreReadAsTheWholeStart() {
    for (String text : new String[] {"-1", "NaN", "Infinity", "abc", "", "1e12"}) {
      ColdReport report = ColdReport.parse(List.of("0", text));
      assertThat(text, report.kind(), is(ColdReport.Kind.UNREADABLE));
      ReplicaLimit other = new ReplicaLimit(new ReplicaId("i-2"));
      other.changeColdStart(COLD_START);
      other.onColdReport(report, now, now);
      assertThat(text, other.coldMillis(now), is(3_000L));
    }
    assertThat("the longest of two", ColdReport.parse(List.of("5", "7")).millis(), is(7L));
  }

  @Test
  void configurationThatCannotBeMeantNeverMeansNoBound() {
    for (double bad : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
      assertThat("rate " + bad, ColdStart.of(3, bad).isBounded(), is(true));
      assertThat("rate " + bad, ColdStart.of(3, bad).wholePerSecond(), is(0));
      assertThat("time " + bad, ColdStart.of(bad, 8.4).millis(), is(10_000L));
    }
    assertThat(ColdStart.of(0, 0).isBounded(), is(false));
  }

  /** Guards against a replica that gets all that was kept from it in one moment. */
  @Test
  void loadReturnsInSteps() {
    limit.warmUp().onPossibleStart(now);
    assertThat(limit.warmUp().requestsPerSecond(COLD_START, now), is(8));
    assertThat(limit.warmUp().requestsPerSecond(COLD_START, now + 3 * SECOND), is(16));
    assertThat(limit.warmUp().requestsPerSecond(COLD_START, now + 4 * SECOND), is(32));
    assertThat(
        limit.warmUp().requestsPerSecond(COLD_START, now + 5 * SECOND), is(WarmUp.UNBOUNDED));
  }

  /** Guards against a change for services whose replicas are never cold. */
  @Test
  void replicaOfServiceWithoutColdStartsIsNeverBounded() {
    limit.changeColdStart(ColdStart.NONE);
    limit.warmUp().onPossibleStart(now);
    limit.onColdReport(ColdReport.of(3_000), now, now);
    LimitShares shares = new LimitShares("edge-1", () -> 0);
    for (int i = 0; i < 100; i++) {
      assertThat(limit.mayReceive(shares, now), is(true));
      limit.onPicked(shares, now);
      assertThat(limit.trySend(shares, now), is(true));
    }
  }

  private long coldMillis() {
    return limit.coldMillis(now);
  }

  private static Replica entry(long sequence, ColdReport cold) {
    return new Replica(
        new ReplicaId("i-1"),
        1,
        "llm",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        new SoftwareVersion("v1"),
        "zone-a",
        64,
        ReplicaState.READY,
        cold,
        sequence);
  }
}
