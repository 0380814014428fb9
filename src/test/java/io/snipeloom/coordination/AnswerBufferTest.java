package io.snipeloom.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerBufferTest {
  private static final int WINDOW = 4;
  private static final int CHUNKS = 12;

  private final AnswerBuffer buffer = new AnswerBuffer(Messages.attempt(1), WINDOW, 1 << 20);

  @Test
  void slowReaderIsLimitedToItsWindowWithoutDelayingOthers() {
    FakeConnection slow = new FakeConnection();
    FakeConnection fast = new FakeConnection();
    buffer.subscribe(slow, 0);
    buffer.subscribe(fast, 0);
    buffer.addHead(200, List.of());
    for (int i = 1; i <= CHUNKS; i++) {
      buffer.addChunk(new byte[10]);
      buffer.acknowledge(fast, i + 1);
    }
    assertThat(slow.sent(Message.AnswerChunk.class), hasSize(WINDOW));
    assertThat(fast.sent(Message.AnswerChunk.class), hasSize(CHUNKS));

    buffer.acknowledge(slow, 3);
    assertThat(slow.sent(Message.AnswerChunk.class), hasSize(WINDOW + 2));
  }

  @Test
  void nothingIsSentToUnwritableConnection() {
    FakeConnection unwritable = new FakeConnection();
    unwritable.writable = false;
    buffer.subscribe(unwritable, 0);
    buffer.addHead(200, List.of());
    buffer.addChunk(new byte[10]);
    assertThat(unwritable.sent(Message.AnswerChunk.class), hasSize(0));
    unwritable.writable = true;
    buffer.sendAvailable();
    assertThat(unwritable.sent(Message.AnswerChunk.class), hasSize(1));
  }

  @Test
  void reattachedReaderGetsRemainingFramesFromAnySequence() {
    buffer.addHead(200, List.of());
    for (int i = 0; i < 3; i++) {
      buffer.addChunk(new byte[10]);
    }
    Message.AnswerEnd end = new Message.AnswerEnd(Messages.attempt(1), 3, true, 0, 0, null, "");
    buffer.finish(end);
    for (int from = 0; from <= 4; from++) {
      FakeConnection reader = new FakeConnection();
      buffer.subscribe(reader, from);
      assertThat("from sequence " + from, reader.sent, hasSize(5 - from));
      assertThat("from sequence " + from, reader.last(), is(end));
    }
  }

  @Test
  void endIsSentOnlyAfterLastChunkFitsWindow() {
    FakeConnection reader = new FakeConnection();
    buffer.subscribe(reader, 0);
    buffer.addHead(200, List.of());
    for (int i = 0; i <= WINDOW; i++) {
      buffer.addChunk(new byte[10]);
    }
    buffer.finish(new Message.AnswerEnd(Messages.attempt(1), WINDOW + 1, true, 0, 0, null, ""));
    assertThat(reader.sent(Message.AnswerEnd.class), hasSize(0));
    buffer.acknowledge(reader, 2);
    assertThat(reader.sent(Message.AnswerEnd.class), hasSize(1));
  }

  @Test
  void fullBufferDropsAcknowledgedFramesAndThenOverflows() {
    AnswerBuffer small = new AnswerBuffer(Messages.attempt(1), 100, 500);
    FakeConnection reader = new FakeConnection();
    small.subscribe(reader, 0);
    small.addHead(200, List.of());
    for (int i = 1; i <= 20; i++) {
      assertThat(small.addChunk(new byte[36]), is(true));
      small.acknowledge(reader, i + 1);
    }
    assertThat(small.canServeFrom(0), is(false));
    assertThat(small.canServeFrom(21), is(true));
    boolean fits = true;
    for (int i = 0; i < 20 && fits; i++) {
      fits = small.addChunk(new byte[36]);
    }
    assertThat(fits, is(false));
  }
}
