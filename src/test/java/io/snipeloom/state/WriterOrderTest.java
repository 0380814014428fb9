package io.snipeloom.state;

import static io.snipeloom.state.TestDecisionLog.BUDGET;
import static io.snipeloom.state.TestDecisionLog.OTHER;
import static io.snipeloom.state.TestDecisionLog.ROUTER;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.snipeloom.state.DecisionEvent.DropReason;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WriterOrderTest {
  private static final int WRITER_RETENTION_OFFSETS = 25;

  private final TestDecisionLog log =
      new TestDecisionLog(
              new DecisionLimits(WRITER_RETENTION_OFFSETS, 6, 6, 4, 64, 64, 8, 200, Set.of()))
          .topUp("t1", 1000);

  private DecisionEvent claim(long sequence, long basedOn) {
    DecisionRecord claim = DecisionRecord.ClaimRequested.forNeededTokens(ROUTER, BUDGET, 1);
    return log.append(new RecordBatch(ROUTER, sequence, basedOn, List.of(claim))).get(0);
  }

  private static DropReason reasonOf(DecisionEvent event) {
    return ((DecisionEvent.BatchDropped) event).reason();
  }

  @Test
  void batchBasedOnOffsetBeforeStaleBatchOfItsWriterIsStaleToo() {
    for (int i = 0; i <= WRITER_RETENTION_OFFSETS; i++) {
      log.claim(OTHER, 1);
    }
    assertThat(reasonOf(claim(1, 0)), is(DropReason.STALE));
    long staleAt = log.nextOffset() - 1;
    assertThat(reasonOf(claim(2, staleAt - 1)), is(DropReason.STALE));
    assertThat(claim(3, staleAt + 1), instanceOf(DecisionEvent.ClaimGranted.class));
  }

  @Test
  void repeatedStaleBatchIsDuplicate() {
    for (int i = 0; i <= WRITER_RETENTION_OFFSETS; i++) {
      log.claim(OTHER, 1);
    }
    claim(1, 0);
    assertThat(reasonOf(claim(1, 0)), is(DropReason.DUPLICATE));
  }

  @Test
  void batchBasedOnFutureOffsetIsInvalid() {
    assertThat(reasonOf(claim(1, log.nextOffset())), is(DropReason.INVALID));
  }
}
