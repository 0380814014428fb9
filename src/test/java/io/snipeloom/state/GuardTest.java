package io.snipeloom.state;

import static io.snipeloom.state.TestDecisionLog.BUDGET;
import static io.snipeloom.state.TestDecisionLog.CUSTOMER;
import static io.snipeloom.state.TestDecisionLog.OTHER;
import static io.snipeloom.state.TestDecisionLog.ROUTER;
import static io.snipeloom.state.TestDecisionLog.SIDECAR;
import static io.snipeloom.state.TestDecisionLog.settled;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.DecisionLimits.Guard;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Applies, for each guard, a sequence of records whose result is correct with the guard and wrong
 * without it.
 */
class GuardTest {
  private static final int WRITER_RETENTION_OFFSETS = 25;
  private static final int MAX_KEYS = 6;

  private DecisionLimits limits;
  private TestDecisionLog log;

  @ParameterizedTest
  @EnumSource(Guard.class)
  void resultIsCorrectWithTheGuard(Guard guard) {
    assertThat(isResultCorrect(guard, Set.of()), is(true));
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void resultIsWrongWithoutTheGuard(Guard guard) {
    assertThat(isResultCorrect(guard, EnumSet.of(guard)), is(false));
  }

  private boolean isResultCorrect(Guard guard, Set<Guard> disabled) {
    limits =
        new DecisionLimits(
            WRITER_RETENTION_OFFSETS, MAX_KEYS, MAX_KEYS, 4, 64, 64, 8, 200, disabled);
    log = new TestDecisionLog(limits).topUp("t1", 1000).join(SIDECAR);
    return switch (guard) {
      case DEDUPLICATION -> duplicateClaimIsDropped(0);
      case STALE_WINDOW -> duplicateClaimIsDropped(WRITER_RETENTION_OFFSETS + 1);
      case DRAIN_BARRIER -> tokensOfClosedHolderStayStrandedBeforeDrainReport();
      case ESTIMATE_REPLACEMENT -> exactSettlementReplacesEstimate();
      case BILL_MEMORY -> keyIsBilledOnce();
      case FIRST_INTENT_WINS -> secondIntentIsRefused();
      case KEY_WATERMARK -> evictedKeyIsRefused();
      case SNAPSHOT_CONTINUITY -> snapshotBeforeGapInTheLogIsIgnored();
    };
  }

  private boolean duplicateClaimIsDropped(int recordsBetween) {
    RecordBatch claim =
        new RecordBatch(
            ROUTER,
            1,
            log.nextOffset() - 1,
            List.of(DecisionRecord.ClaimRequested.forNeededTokens(ROUTER, BUDGET, 100)));
    log.append(claim);
    for (int i = 0; i < recordsBetween; i++) {
      log.claim(OTHER, 1);
    }
    log.append(claim);
    return log.account().remaining().get(ROUTER) == 100;
  }

  private boolean tokensOfClosedHolderStayStrandedBeforeDrainReport() {
    log.claim(ROUTER, 400);
    log.append(OTHER, new DecisionRecord.HolderClosed(ROUTER));
    return log.account().pool() == 600;
  }

  private boolean exactSettlementReplacesEstimate() {
    log.claim(ROUTER, 400);
    log.append(ROUTER, settled(ROUTER, 1, "k", 300, false, false));
    log.append(SIDECAR, settled(ROUTER, 1, "k", 100, true, false));
    return log.account().consumed() == 100;
  }

  private boolean keyIsBilledOnce() {
    log.claim(ROUTER, 400);
    log.append(ROUTER, settled(ROUTER, 1, "k", 10, true, true));
    log.append(ROUTER, settled(ROUTER, 2, "k", 10, true, true));
    return log.account().billed() == 10;
  }

  private boolean secondIntentIsRefused() {
    return recordIntent(key(1), 1) instanceof DecisionEvent.IntentAccepted
        && recordIntent(key(1), 2) instanceof DecisionEvent.IntentRefused;
  }

  private boolean evictedKeyIsRefused() {
    for (int i = 1; i <= MAX_KEYS + 1; i++) {
      recordIntent(key(i), i);
    }
    return recordIntent(key(1), MAX_KEYS + 2) instanceof DecisionEvent.IntentRefused refused
        && refused.code() == ErrorCode.KEY_EXPIRED;
  }

  private boolean snapshotBeforeGapInTheLogIsIgnored() {
    SnapshotAssembler assembler = SnapshotAssembler.startingAt(log.nextOffset() + 1, limits);
    DecisionRecord chunk = SnapshotAssembler.split(log.state()).get(0);
    return assembler.offer(new RecordBatch(OTHER, 1, log.nextOffset(), List.of(chunk))).isEmpty();
  }

  private DecisionEvent recordIntent(RequestKey key, int attempt) {
    AttemptId id = AttemptId.of(ROUTER, attempt);
    return log.append(ROUTER, new DecisionRecord.IntentRecorded(key, id, SIDECAR, "d")).get(0);
  }

  private static RequestKey key(long issuedAtMillis) {
    return RequestKey.generate(CUSTOMER, issuedAtMillis, new UUID(0, issuedAtMillis));
  }
}
