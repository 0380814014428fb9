package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.snipeloom.coordination.AnswerCursor.Verdict;
import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class AnswerCursorTest {
  private static final long SEED = 4242;

  @Test
  void endWithMissingOrSurplusChunksIsGap() {
    AnswerCursor cursor = new AnswerCursor(0);
    cursor.accept(new Message.AnswerHead(Messages.attempt(1), 200, List.of()));
    cursor.accept(chunk(1));
    assertThat(cursor.accept(end(2)), is(Verdict.GAP));
    assertThat(cursor.accept(end(0)), is(Verdict.GAP));
    assertThat(cursor.accept(end(1)), is(Verdict.DELIVER));
  }

  @Test
  void endWithoutHeadIsGap() {
    assertThat(new AnswerCursor(0).accept(end(0)), is(Verdict.GAP));
  }

  @Test
  void framesFromBeforeRestartAreDropped() {
    AnswerCursor cursor = new AnswerCursor(0);
    cursor.accept(new Message.AnswerHead(Messages.attempt(1), 200, List.of()));
    cursor.restartAt(1);
    assertThat(cursor.accept(chunk(7)), is(Verdict.DROP));
    assertThat(cursor.accept(end(7)), is(Verdict.DROP));
    assertThat(cursor.accept(chunk(1)), is(Verdict.DELIVER));
    assertThat(cursor.accept(chunk(3)), is(Verdict.GAP));
  }

  @Test
  void reorderedAndDuplicateFramesAreDeliveredInOrderAndOnce() {
    Random random = new Random(SEED);
    for (int round = 0; round < 1_000; round++) {
      AnswerCursor cursor = new AnswerCursor(1);
      List<Long> delivered = new ArrayList<>();
      while (delivered.size() < 20) {
        long sequence = 1L + random.nextInt(20);
        if (cursor.accept(chunk(sequence)) == Verdict.DELIVER) {
          delivered.add(sequence);
        }
      }
      for (int i = 0; i < delivered.size(); i++) {
        assertThat("seed " + SEED + " round " + round, delivered.get(i), is(i + 1L));
      }
    }
  }

  private static Message.AnswerChunk chunk(long sequence) {
    return new Message.AnswerChunk(Messages.attempt(1), sequence, new byte[0]);
  }

  private static Message.AnswerEnd end(long count) {
    return new Message.AnswerEnd(Messages.attempt(1), count, true, 0, 0, null, "");
  }
}
