package io.snipeloom.spend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class SpendControlTest {
  private static final int SEEDS = Integer.getInteger("spend.seeds", 10_000);

  @Test
  void noScheduleSpendsMoreThanThePrepaidTotal() {
    int served = 0;
    int refused = 0;
    long lent = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      SpendSchedule schedule = new SpendSchedule(seed, true);
      assertThat("overspend with seed " + seed, schedule.overspend(), is(0L));
      served += schedule.served();
      refused += schedule.refused();
      lent += schedule.lent();
    }
    assertThat("the schedules serve requests", served, greaterThan(10 * SEEDS));
    assertThat("the schedules exhaust totals", refused, greaterThan(SEEDS));
    assertThat("the schedules lend tokens", lent, greaterThan(SEEDS * 1_000L));
  }

  @Test
  void schedulesOverspendWithoutTheCheckOfTheOffset() {
    long overspend = 0;
    for (long seed = 0; seed < 100; seed++) {
      overspend += overspendOrBrokenTotal(new SpendSchedule(seed, false));
    }
    assertThat("the schedules would notice a ledger without the check", overspend, greaterThan(0L));
  }

  /** Without the check, returns may also be booked twice until a total turns negative. */
  private static long overspendOrBrokenTotal(SpendSchedule schedule) {
    try {
      return schedule.overspend();
    } catch (IllegalArgumentException e) {
      assertThat(e.getMessage(), is("claimed tokens must be at least 0"));
      return 0;
    }
  }

  @Test
  void schedulesOverspendIfSuccessorsIgnoreUseAfterTheLastReport() {
    long overspend = 0;
    for (long seed = 0; seed < 2_000; seed++) {
      overspend += new SpendSchedule(seed, true, true).overspend();
    }
    assertThat("the schedules would notice a takeover of too much", overspend, greaterThan(0L));
  }
}
