package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class ReadBoundTest {
  private long nowNanos;
  private final ReadBound bound = new ReadBound(() -> nowNanos);

  /** Guards against a peer that holds the event loop by sending as fast as it is read. */
  @Test
  void connectionIsNotReadOnceTheTimeIsOver() {
    readRounds(ReadBound.MIN_ROUNDS + 1);
    nowNanos += ReadBound.MAX_NANOS;
    assertThat(bound.tryRound(), is(false));
  }

  /** Guards against a clock that stands still, or bytes that come in no time. */
  @Test
  void connectionIsNotReadAfterTheLastRound() {
    readRounds(ReadBound.MAX_ROUNDS);
    assertThat(bound.tryRound(), is(false));
  }

  /** Guards against the loss of an answer that has arrived at an instance that was held up. */
  @Test
  void shortAnswerIsReadHoweverLongItTakes() {
    for (int round = 0; round < ReadBound.MIN_ROUNDS; round++) {
      nowNanos += ReadBound.MAX_NANOS;
      assertThat(bound.tryRound(), is(true));
    }
  }

  private void readRounds(int rounds) {
    for (int round = 0; round < rounds; round++) {
      assertThat(bound.tryRound(), is(true));
    }
  }
}
