package io.snipeloom.state;

import static io.snipeloom.state.TestDecisionLog.OTHER;
import static io.snipeloom.state.TestDecisionLog.SIDECAR;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DecisionStateCrashTest {
  private static final String FINGERPRINT = "body";
  private static final int RETENTION_OFFSETS = 10;

  private final TestDecisionLog log =
      new TestDecisionLog(new DecisionLimits(25, 6, 6, 4, 64, 64, 8, RETENTION_OFFSETS, Set.of()));

  private void reportCrash(boolean alone) {
    log.append(SIDECAR, new DecisionRecord.CrashReported(FINGERPRINT, SIDECAR, alone));
  }

  @Test
  void firstCrashMakesRequestSuspectAndSecondConvictsIt() {
    reportCrash(false);
    assertThat(log.state().isSuspect(FINGERPRINT), is(true));
    reportCrash(false);
    assertThat(log.state().isConvicted(FINGERPRINT), is(true));
  }

  @Test
  void crashWhileRunningAloneConvictsImmediately() {
    reportCrash(true);
    assertThat(log.state().isConvicted(FINGERPRINT), is(true));
  }

  @Test
  void oneCrashReportedForTwoAttemptsCountsOnce() {
    DecisionRecord report = new DecisionRecord.CrashReported(FINGERPRINT, SIDECAR, false);
    log.append(SIDECAR, report, report);
    assertThat(log.state().isConvicted(FINGERPRINT), is(false));
  }

  @Test
  void suspectIsClearedAfterRunningAlone() {
    reportCrash(false);
    log.append(SIDECAR, new DecisionRecord.SuspectCleared(FINGERPRINT, SIDECAR));
    reportCrash(false);
    assertThat(log.state().isConvicted(FINGERPRINT), is(false));
  }

  @Test
  void operatorCanLiftConviction() {
    reportCrash(true);
    log.append(OTHER, new DecisionRecord.ConvictionLifted(FINGERPRINT, "op"));
    assertThat(log.state().isConvicted(FINGERPRINT), is(false));
  }

  @Test
  void convictionExpiresAfterRetention() {
    reportCrash(true);
    DecisionEvent ended = null;
    for (int i = 0; i <= RETENTION_OFFSETS; i++) {
      List<DecisionEvent> events =
          log.append(
              OTHER,
              DecisionRecord.ClaimRequested.forNeededTokens(OTHER, TestDecisionLog.BUDGET, 0));
      ended = events.get(0) instanceof DecisionEvent.ConvictionEnded ? events.get(0) : ended;
    }
    assertThat(ended, is(new DecisionEvent.ConvictionEnded(11, FINGERPRINT, false)));
  }

  @Test
  void fencingNumberOfOrderIsItsOffset() {
    InstanceId target = SIDECAR.instance();
    EngineOrder order = new EngineOrder(EngineOrder.Action.LOAD_MODEL, "m1");
    log.append(OTHER, new DecisionRecord.OrderIssued(target, order));
    log.append(OTHER, new DecisionRecord.OrderIssued(target, order));
    assertThat(log.state().orders(target), is(List.of(new IssuedOrder(1, target, order))));
  }
}
