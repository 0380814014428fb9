package io.snipeloom.state;

import static io.snipeloom.state.TestDecisionLog.BUDGET;
import static io.snipeloom.state.TestDecisionLog.OTHER;
import static io.snipeloom.state.TestDecisionLog.ROUTER;
import static io.snipeloom.state.TestDecisionLog.SIDECAR;
import static io.snipeloom.state.TestDecisionLog.settled;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class DecisionStateSpendTest {
  private final TestDecisionLog log = TestDecisionLog.create().topUp("t1", 1000).join(SIDECAR);

  @Test
  void claimIsLimitedToThePool() {
    log.claim(ROUTER, 700);
    DecisionEvent second =
        log.append(OTHER, DecisionRecord.ClaimRequested.forNeededTokens(OTHER, BUDGET, 700)).get(0);
    assertThat(((DecisionEvent.ClaimGranted) second).granted(), is(300L));
    assertThat(log.account().unmetDemand(), is(true));
  }

  @Test
  void topUpIsAddedOnce() {
    log.topUp("t1", 1000);
    assertThat(log.account().toppedUp(), is(1000L));
  }

  @Test
  void attemptSettledTwiceCountsOnce() {
    log.claim(ROUTER, 500);
    log.append(ROUTER, settled(ROUTER, 1, "k", 100, true, true));
    log.append(SIDECAR, settled(ROUTER, 1, "k", 100, true, true));
    assertThat(log.account().consumed(), is(100L));
    assertThat(log.account().billed(), is(100L));
  }

  @Test
  void secondAttemptOfBilledKeyConsumesButIsNotBilled() {
    log.claim(ROUTER, 500);
    log.append(ROUTER, settled(ROUTER, 1, "k", 100, true, true));
    log.append(ROUTER, settled(ROUTER, 2, "k", 70, true, true));
    assertThat(log.account().consumed(), is(170L));
    assertThat(log.account().billed(), is(100L));
  }

  @Test
  void exactSettlementReplacesEstimateAndCreditsTheHolder() {
    log.claim(ROUTER, 500);
    log.append(ROUTER, settled(ROUTER, 1, "k", 400, false, false));
    log.append(SIDECAR, settled(ROUTER, 1, "k", 150, true, true));
    assertThat(log.account().remaining().get(ROUTER), is(350L));
    assertThat(log.account().consumed(), is(150L));
  }

  @Test
  void estimateAfterExactSettlementIsIgnored() {
    log.claim(ROUTER, 500);
    log.append(SIDECAR, settled(ROUTER, 1, "k", 150, true, true));
    log.append(ROUTER, settled(ROUTER, 1, "k", 400, false, false));
    assertThat(log.account().consumed(), is(150L));
  }

  @Test
  void closedHolderIsReleasedOnlyAfterEveryLiveSidecarReported() {
    Incarnation second = Incarnation.of("sidecar2#a");
    log.join(second).claim(ROUTER, 500);
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    log.append(SIDECAR, new DecisionRecord.HolderDrained(ROUTER, SIDECAR));
    assertThat(log.account().stranded(), is(500L));
    log.append(second, settled(ROUTER, 1, "k", 120, true, false));
    log.append(second, new DecisionRecord.HolderDrained(ROUTER, second));
    assertThat(log.account().pool(), is(880L));
    assertThat(log.account().remaining(), is(anEmptyMap()));
  }

  @Test
  void tokensStayStrandedUntilWrittenOffIfSidecarIsLost() {
    log.claim(ROUTER, 500).join(Incarnation.of("sidecar1#b"));
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    Incarnation successor = Incarnation.of("sidecar1#b");
    log.append(successor, new DecisionRecord.HolderDrained(ROUTER, successor));
    assertThat(log.state().awaitedSidecars(ROUTER), contains(SIDECAR));
    log.append(OTHER, new DecisionRecord.HolderWrittenOff(ROUTER, "op"));
    assertThat(log.account().consumed(), is(500L));
    assertThat(log.account().writtenOff(), is(500L));
  }

  @Test
  void holderThatReportedItsWorkOnLostSidecarIsReleasedWithoutWaitingForIt() {
    Incarnation successor = Incarnation.of("sidecar1#b");
    log.claim(ROUTER, 500).join(successor);
    log.append(
        ROUTER,
        settled(ROUTER, 1, "k", 100, false, false),
        new DecisionRecord.HolderDrained(ROUTER, SIDECAR));
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    log.append(successor, new DecisionRecord.HolderDrained(ROUTER, successor));
    assertThat(log.account().pool(), is(900L));
  }

  @Test
  void claimAndReturnOfClosedHolderHaveNoEffect() {
    log.claim(ROUTER, 500);
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    DecisionEvent refused =
        log.append(ROUTER, DecisionRecord.ClaimRequested.forNeededTokens(ROUTER, BUDGET, 1)).get(0);
    assertThat(refused, instanceOf(DecisionEvent.ClaimRefused.class));
    log.append(ROUTER, new DecisionRecord.ClaimReturned(ROUTER, BUDGET, 500));
    assertThat(log.account().pool(), is(500L));
  }

  @Test
  void settlementAfterReleaseIsNotCounted() {
    log.claim(ROUTER, 500);
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    log.append(SIDECAR, new DecisionRecord.HolderDrained(ROUTER, SIDECAR));
    log.append(ROUTER, settled(ROUTER, 9, "k", 50, false, true));
    assertThat(log.account().consumed(), is(0L));
    assertThat(log.state().count(DecisionCounter.SETTLEMENTS_UNCOUNTED), is(1L));
  }

  @Test
  void exactSettlementAfterReleaseCreditsThePool() {
    log.claim(ROUTER, 500);
    log.append(ROUTER, settled(ROUTER, 1, "k", 400, false, false));
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    log.append(SIDECAR, new DecisionRecord.HolderDrained(ROUTER, SIDECAR));
    log.append(SIDECAR, settled(ROUTER, 1, "k", 150, true, false));
    assertThat(log.account().pool(), is(850L));
  }

  @Test
  void overdraftIsDeductedFromReturnedTokensBeforeTheyCanBeClaimed() {
    log.claim(ROUTER, 100).claim(OTHER, 900);
    log.append(ROUTER, settled(ROUTER, 1, "k", 130, true, true));
    assertThat(log.account().overdrawn(), is(30L));
    log.append(OTHER, new DecisionRecord.ClaimReturned(OTHER, BUDGET, 50));
    assertThat(log.account().overdrawn(), is(0L));
    assertThat(log.account().pool(), is(20L));
    assertThat(log.state().count(DecisionCounter.TOKENS_OVERDRAWN), is(30L));
  }

  @Test
  void restoredStateHasTheSameDigestAndAppliesFurtherRecords() {
    log.claim(ROUTER, 500).join(Incarnation.of("sidecar2#a"));
    log.append(ROUTER, settled(ROUTER, 1, "k", 400, false, true));
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    long before = log.state().digest();
    log.restoreFromSnapshot();
    assertThat(log.state().digest(), equalTo(before));
    log.append(SIDECAR, new DecisionRecord.SidecarLeft(SIDECAR));
    assertThat(log.account().stranded(), is(100L));
  }
}
