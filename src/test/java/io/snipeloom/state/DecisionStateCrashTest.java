package io.snipeloom.state;

import static io.snipeloom.state.DecisionLog.OTHER;
import static io.snipeloom.state.DecisionLog.SIDECAR;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DecisionStateCrashTest {
  private static final String BODY = "body";
  private static final int EXPIRY_OFFSETS = 10;

  private final DecisionLog log =
      new DecisionLog(new DecisionLimits(25, 6, 6, 4, 64, 64, 8, EXPIRY_OFFSETS, Set.of()));

  private void crash(boolean alone) {
    log.write(SIDECAR, new DecisionRecord.CrashReported(BODY, SIDECAR, alone));
  }

  @Test
  void firstCrashMakesSuspectAndSecondConvicts() {
    crash(false);
    assertThat(log.state().isSuspect(BODY), is(true));
    crash(false);
    assertThat(log.state().isConvicted(BODY), is(true));
  }

  @Test
  void crashWhileAloneConvictsAtOnce() {
    crash(true);
    assertThat(log.state().isConvicted(BODY), is(true));
  }

  @Test
  void oneCrashReportedForTwoAttemptsCountsOnce() {
    DecisionRecord report = new DecisionRecord.CrashReported(BODY, SIDECAR, false);
    log.write(SIDECAR, report, report);
    assertThat(log.state().isConvicted(BODY), is(false));
  }

  @Test
  void suspectThatRanAloneIsCleared() {
    crash(false);
    log.write(SIDECAR, new DecisionRecord.SuspectCleared(BODY, SIDECAR));
    crash(false);
    assertThat(log.state().isConvicted(BODY), is(false));
  }

  @Test
  void convictionIsLiftedByAnOperator() {
    crash(true);
    log.write(OTHER, new DecisionRecord.ConvictionLifted(BODY, "op"));
    assertThat(log.state().isConvicted(BODY), is(false));
  }

  @Test
  void convictionExpires() {
    crash(true);
    DecisionEvent ended = null;
    for (int i = 0; i <= EXPIRY_OFFSETS; i++) {
      List<DecisionEvent> events =
          log.write(
              OTHER, DecisionRecord.ClaimRequested.forNeededTokens(OTHER, DecisionLog.BUDGET, 0));
      ended = events.get(0) instanceof DecisionEvent.ConvictionEnded ? events.get(0) : ended;
    }
    assertThat(ended, is(new DecisionEvent.ConvictionEnded(11, BODY, false)));
  }

  @Test
  void orderIsFencedByItsOffset() {
    InstanceId target = SIDECAR.instance();
    EngineOrder order = new EngineOrder(EngineOrder.Action.LOAD_MODEL, "m1");
    log.write(OTHER, new DecisionRecord.OrderIssued(target, order));
    log.write(OTHER, new DecisionRecord.OrderIssued(target, order));
    assertThat(log.state().orders(target), is(List.of(new IssuedOrder(1, target, order))));
  }
}
