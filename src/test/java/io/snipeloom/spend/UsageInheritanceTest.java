package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.CustomerId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests from which reports an instance inherits the tokens that its predecessor left unused. */
class UsageInheritanceTest {
  private static final CustomerId CUSTOMER = CustomerId.of("customer");
  private static final long ERA = 4;

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

  /** Returns the tokens that a new instance inherits from a report that was made in an era. */
  private static long inherited(long reportEra) {
    MachineClock clock = new MachineClock("boot", 0);
    UsageReport predecessor =
        new UsageReport(
            "predecessor",
            7,
            clock,
            0,
            reportEra,
            List.of(new UsageReport.CustomerUsage(CUSTOMER, 10_000, 1_000, 0, 0, 0)));
    SpendControl control =
        new SpendControl(
            "successor",
            clock,
            100_000_000L,
            new SilentLedger(),
            new StoredReport(predecessor),
            1,
            new ClaimPolicy(10, 1),
            (request, listener) -> listener.onDone(),
            SpendSchedule.NO_OP_EVENTS);
    control.changeLimit(CUSTOMER, 20_000);
    control.tick(200_000_000L);
    return control.status(CUSTOMER, 200_000_000L).availableTokens();
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
