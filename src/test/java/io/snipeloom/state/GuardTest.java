package io.snipeloom.state;

import static io.snipeloom.state.DecisionLog.BUDGET;
import static io.snipeloom.state.DecisionLog.CUSTOMER;
import static io.snipeloom.state.DecisionLog.OTHER;
import static io.snipeloom.state.DecisionLog.ROUTER;
import static io.snipeloom.state.DecisionLog.SIDECAR;
import static io.snipeloom.state.DecisionLog.settled;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.DecisionLimits.Guard;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Shows for each guard a history that goes right with it and wrong without it. */
class GuardTest {
  private static final int WRITER_MEMORY = 25;
  private static final int KEY_MEMORY = 6;

  private DecisionLimits limits;
  private DecisionLog log;

  @ParameterizedTest
  @EnumSource(Guard.class)
  void historyGoesRightWithTheGuard(Guard guard) {
    assertThat(goesRight(guard, Set.of()), is(true));
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void historyGoesWrongWithoutTheGuard(Guard guard) {
    assertThat(goesRight(guard, EnumSet.of(guard)), is(false));
  }

  private boolean goesRight(Guard guard, Set<Guard> disabled) {
    limits = new DecisionLimits(WRITER_MEMORY, KEY_MEMORY, KEY_MEMORY, 4, 64, 64, 8, 200, disabled);
    log = new DecisionLog(limits).topUp("t1", 1000).join(SIDECAR);
    return switch (guard) {
      case DEDUPLICATION -> secondCopyOfClaimIsDropped(0);
      case STALE_WINDOW -> secondCopyOfClaimIsDropped(WRITER_MEMORY + 1);
      case DRAIN_BARRIER -> remainderStaysStrandedBeforeTheReport();
      case ESTIMATE_REPLACEMENT -> exactFigureReplacesTheEstimate();
      case BILL_MEMORY -> keyIsBilledOnce();
      case FIRST_INTENT_WINS -> secondIntentIsRefused();
      case KEY_WATERMARK -> forgottenKeyIsRefused();
      case SNAPSHOT_CONTINUITY -> snapshotBeforeTheFirstRecordIsPassedOver();
    };
  }

  private boolean secondCopyOfClaimIsDropped(int recordsBetween) {
    RecordBatch claim =
        new RecordBatch(
            ROUTER,
            1,
            log.next() - 1,
            List.of(DecisionRecord.ClaimRequested.forNeededTokens(ROUTER, BUDGET, 100)));
    log.write(claim);
    for (int i = 0; i < recordsBetween; i++) {
      log.claim(OTHER, 1);
    }
    log.write(claim);
    return log.account().remaining().get(ROUTER) == 100;
  }

  private boolean remainderStaysStrandedBeforeTheReport() {
    log.claim(ROUTER, 400);
    log.write(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    return log.account().pool() == 600;
  }

  private boolean exactFigureReplacesTheEstimate() {
    log.claim(ROUTER, 400);
    log.write(ROUTER, settled(ROUTER, 1, "k", 300, false, false));
    log.write(SIDECAR, settled(ROUTER, 1, "k", 100, true, false));
    return log.account().consumed() == 100;
  }

  private boolean keyIsBilledOnce() {
    log.claim(ROUTER, 400);
    log.write(ROUTER, settled(ROUTER, 1, "k", 10, true, true));
    log.write(ROUTER, settled(ROUTER, 2, "k", 10, true, true));
    return log.account().billed() == 10;
  }

  private boolean secondIntentIsRefused() {
    return intend(key(1), 1) instanceof DecisionEvent.IntentAccepted
        && intend(key(1), 2) instanceof DecisionEvent.IntentRefused;
  }

  private boolean forgottenKeyIsRefused() {
    for (int i = 1; i <= KEY_MEMORY + 1; i++) {
      intend(key(i), i);
    }
    return intend(key(1), KEY_MEMORY + 2) instanceof DecisionEvent.IntentRefused refused
        && refused.code() == ErrorCode.KEY_EXPIRED;
  }

  private boolean snapshotBeforeTheFirstRecordIsPassedOver() {
    SnapshotAssembler assembler = SnapshotAssembler.startingAt(log.next() + 1, limits);
    DecisionRecord chunk = SnapshotAssembler.split(log.state()).get(0);
    return assembler.offer(new RecordBatch(OTHER, 1, log.next(), List.of(chunk))).isEmpty();
  }

  private DecisionEvent intend(RequestKey key, int attempt) {
    AttemptId id = AttemptId.of(ROUTER, attempt);
    return log.write(ROUTER, new DecisionRecord.IntentRecorded(key, id, SIDECAR, "d")).get(0);
  }

  private static RequestKey key(long issuedAtMillis) {
    return RequestKey.generate(CUSTOMER, issuedAtMillis, new UUID(0, issuedAtMillis));
  }
}
