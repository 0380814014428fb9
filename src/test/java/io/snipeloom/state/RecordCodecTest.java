package io.snipeloom.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class RecordCodecTest {
  private static final RecordBatch BATCH =
      new RecordBatch(
          TestDecisionLog.ROUTER,
          7,
          3,
          List.of(
              DecisionRecord.ClaimRequested.forNeededTokens(
                  TestDecisionLog.ROUTER, TestDecisionLog.BUDGET, 12),
              TestDecisionLog.settled(TestDecisionLog.ROUTER, 1, "key", 5, true, false),
              new DecisionRecord.SidecarLeft(TestDecisionLog.SIDECAR)));

  private static void assertMalformed(byte[] bytes) {
    SnipeloomException error =
        assertThrows(SnipeloomException.class, () -> RecordCodec.decode(bytes));
    assertThat(error.code(), is(ErrorCode.MALFORMED_RECORD));
  }

  @Test
  void decodesEncodedBatch() {
    assertThat(RecordCodec.decode(RecordCodec.encode(BATCH)), is(BATCH));
  }

  @Test
  void truncatedOrExtendedBatchIsMalformed() {
    byte[] bytes = RecordCodec.encode(BATCH);
    for (int length = 0; length < bytes.length; length++) {
      assertMalformed(Arrays.copyOf(bytes, length));
    }
    assertMalformed(Arrays.copyOf(bytes, bytes.length + 1));
  }

  @Test
  void unknownKindIsMalformed() {
    byte[] bytes = RecordCodec.encode(BATCH);
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    assertMalformed(text.replace("sleft", "slept").getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void negativeTokensAreMalformed() {
    assertThrows(
        SnipeloomException.class,
        () ->
            DecisionRecord.ClaimRequested.forNeededTokens(
                TestDecisionLog.ROUTER, TestDecisionLog.BUDGET, -1));
  }
}
