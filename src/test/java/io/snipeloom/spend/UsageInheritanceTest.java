package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.CustomerId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests from which reports an instance inherits the tokens that its predecessor left unused. */
class UsageInheritanceTest {
  private static final CustomerId CUSTOMER = CustomerId.of("customer");
  private static final long ERA = 4;

  /** How long the machine has run when the successor starts after a kill. */
  private static final long UPTIME_NANOS = 8_000_000_000L;

  @Test
  void unusedTokensOfTheLastReportAreInherited() {
    assertThat(inherited(ERA), greaterThan(0L));
  }

  /**
   * Guards against inheriting by a report after which the store lost others, by which the
   * predecessor may have used more.
   */
  @Test
  void nothingIsInheritedFromReportOfEarlierEra() {
    assertThat(inherited(ERA - 1), is(0L));
  }

  /** Guards against losing all that an instance held when its machine loses power. */
  @Test
  void unusedTokensAreInheritedAfterLossOfPowerByTheClocksOfTheFleet() {
    assertThat(inheritedAfterPowerLoss("machine", ERA, clocks(0, 0, 0)), is(7_000L));
  }

  @Test
  void clockOfOneInstanceThatWasSetBackDoesNotShortenTheTime() {
    assertThat(inheritedAfterPowerLoss("machine", ERA, clocks(0, -1_900, 0)), is(7_000L));
  }

  @Test
  void clockOfOneInstanceThatWasSetAheadDoesNotLengthenTheTime() {
    assertThat(inheritedAfterPowerLoss("machine", ERA, clocks(0, 4_000, 0)), is(7_000L));
  }

  /** Guards against a process that still runs on a machine that was replaced. */
  @Test
  void nothingIsInheritedFromAnotherMachineOfTheSameName() {
    assertThat(inheritedAfterPowerLoss("another machine", ERA, clocks(0, 0, 0)), is(0L));
    assertThat(inheritedAfterPowerLoss("", ERA, clocks(0, 0, 0)), is(0L));
  }

  @Test
  void nothingIsInheritedAfterLossOfPowerFromReportOfEarlierEra() {
    assertThat(inheritedAfterPowerLoss("machine", ERA - 1, clocks(0, 0, 0)), is(0L));
  }

  @Test
  void nothingIsInheritedAfterLossOfPowerIfTooFewClocksAreKnown() {
    assertThat(inheritedAfterPowerLoss("machine", ERA, clocks(0)), is(0L));
  }

  /** Returns the differences of the clocks of other instances since the report. */
  private static List<Long> clocks(long... stepMillis) {
    return Arrays.stream(stepMillis).boxed().toList();
  }

  /**
   * Guards against inheriting too much on a machine that lost power twice within seconds, while its
   * time of day was set back by as much as its monotonic clock: the report looks recent, but is
   * old.
   */
  @Test
  void clockThatMayHaveStartedAnewDoesNotShowTheAgeOfReport() {
    MachineClock clock = new MachineClock("boot", 0);
    UsageReport predecessor = report(clock, ERA, "machine", List.of());
    FleetClock fleetClock = new FleetClock("instance", () -> 0);
    long tokens = inheritedFrom(predecessor, clock, fleetClock, 300_000_000L, 400_000_000L);
    assertThat(tokens, is(0L));
  }

  /** Returns the tokens that a new instance inherits from a report that was made in an era. */
  private static long inherited(long reportEra) {
    MachineClock clock = new MachineClock("boot", 0);
    UsageReport predecessor = report(clock, reportEra, "machine", List.of());
    FleetClock fleetClock = new FleetClock("instance", () -> 0);
    return inheritedFrom(predecessor, clock, fleetClock, UPTIME_NANOS, UPTIME_NANOS + 100_000_000L);
  }

  /**
   * Returns the tokens that a new instance inherits 1.95 s after the last report, when the clocks
   * of other instances have been set by some steps and the machine has started anew.
   */
  private static long inheritedAfterPowerLoss(String machine, long era, List<Long> stepMillis) {
    List<ClockReading> readings = new ArrayList<>();
    FleetClock fleetClock = new FleetClock("instance", () -> 10_000_000);
    readings.add(new ClockReading("instance", 9_998_151));
    for (int i = 0; i < stepMillis.size(); i++) {
      readings.add(new ClockReading("edge-" + i, 9_998_151));
      fleetClock.onResponse(
          "edge-" + i, 10_000_200 + stepMillis.get(i), 200_000_000L, 210_000_000L);
    }
    UsageReport predecessor = report(new MachineClock("boot", 9_900_000), era, machine, readings);
    return inheritedFrom(
        predecessor,
        new MachineClock("boot", 10_000_000),
        fleetClock,
        100_000_000L,
        5_000_000_000L);
  }

  private static UsageReport report(
      MachineClock clock, long era, String machine, List<ClockReading> readings) {
    return new UsageReport(
        "predecessor",
        7,
        clock,
        0,
        era,
        machine,
        readings,
        List.of(new UsageReport.CustomerUsage(CUSTOMER, 10_000, 1_000, 0, 1_000, 0)));
  }

  private static long inheritedFrom(
      UsageReport predecessor,
      MachineClock clock,
      FleetClock fleetClock,
      long startNanos,
      long nowNanos) {
    SpendControl control =
        new SpendControl(
            "successor",
            clock,
            "machine",
            fleetClock,
            startNanos,
            new SilentLedger(),
            new StoredReport(predecessor),
            1,
            new ClaimPolicy(10, 1),
            (request, listener) -> listener.onDone(),
            ClaimPeers.NONE,
            SpendSchedule.NO_OP_EVENTS);
    control.changeLimit(CUSTOMER, 20_000);
    control.tick(nowNanos);
    return control.status(CUSTOMER, nowNanos).availableTokens();
  }

  /** Holds the last report of the predecessor and accepts further ones. */
  private record StoredReport(UsageReport report) implements UsageStore {
    @Override
    public long era() {
      return ERA;
    }

    @Override
    public void newest(NewestListener listener) {
      listener.onReport(Optional.of(report), 1);
    }

    @Override
    public void append(long at, UsageReport appended, LedgerStore.AppendListener listener) {
      listener.onAppended();
    }
  }

  /** A ledger that never responds. */
  private static final class SilentLedger implements LedgerStore {
    @Override
    public void onEra(long era) {}

    @Override
    public long era() {
      return ERA;
    }

    @Override
    public void list(int partition, PageListener listener) {}

    @Override
    public void read(int partition, long from, PageListener listener) {}

    @Override
    public void append(
        int partition, long at, List<LedgerRecord> records, AppendListener listener) {}
  }
}
