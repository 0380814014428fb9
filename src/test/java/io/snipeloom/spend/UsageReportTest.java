package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.state.CustomerId;
import io.snipeloom.state.SnipeloomException;
import java.util.List;
import org.junit.jupiter.api.Test;

class UsageReportTest {
  private static final UsageReport.CustomerUsage USAGE =
      new UsageReport.CustomerUsage(
          CustomerId.of("customer"), 100_000, 20_000, 8_000, 1_000, 10_000);
  private static final UsageReport REPORT =
      new UsageReport(
          "writer",
          3,
          new MachineClock("boot", 1_000_000),
          5_000_000_000L,
          4,
          "10.1.0.40",
          List.of(new ClockReading("edge-1", 1_700_000_000_000L)),
          List.of(USAGE));

  @Test
  void encodedReportDecodesToAnEqualReport() {
    assertThat(UsageReport.parse(REPORT.toBytes()), is(REPORT));
  }

  @Test
  void malformedReportsAreRejected() {
    assertThrows(SnipeloomException.class, () -> UsageReport.parse(new byte[] {1, 2}));
    assertThrows(SnipeloomException.class, () -> UsageReport.parse(new byte[0]));
  }

  @Test
  void unusedTokensDecreaseWithReportAge() {
    assertThat(USAGE.unused(0), is(72_000L));
    assertThat(USAGE.unused(1_000_000_000L), is(71_000L));
    assertThat(USAGE.unused(200_000_000_000L), is(0L));
  }

  @Test
  void maxUsageGrowsFasterAfterOutageThreshold() {
    assertThat(USAGE.maxUsed(5_000_000_000L), is(33_000L));
    assertThat(USAGE.maxUsed(6_000_000_000L), is(44_000L));
  }

  @Test
  void clocksDifferAfterRebootOrWithoutBootId() {
    MachineClock clock = MachineClock.of("boot", 10_000, 4_000_000_000L);
    assertThat(clock.isSame(MachineClock.of("boot", 12_500, 4_500_000_000L)), is(true));
    assertThat(clock.isSame(MachineClock.of("other", 12_500, 4_500_000_000L)), is(false));
    assertThat(clock.isSame(MachineClock.of("boot", 12_500, 90_000_000_000L)), is(false));
    assertThat(new MachineClock("", 1).isSame(new MachineClock("", 1)), is(false));
  }

  @Test
  void forwardStepOfWallClockCountsAsElapsedTime() {
    MachineClock earlier = new MachineClock("boot", 1_000);
    assertThat(new MachineClock("boot", 1_000).maxElapsedNanos(earlier, 5, 12), is(7L));
    assertThat(new MachineClock("boot", 3_000).maxElapsedNanos(earlier, 5, 12), is(2_000_000_007L));
    assertThat(new MachineClock("boot", 500).maxElapsedNanos(earlier, 5, 12), is(7L));
  }
}
