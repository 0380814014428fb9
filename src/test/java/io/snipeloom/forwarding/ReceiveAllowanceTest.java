package io.snipeloom.forwarding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class ReceiveAllowanceTest {
  /** The longest body of a response and the longest event. */
  private static final int LONGEST_BODY_BYTES = 4_194_304;

  private final ReceiveAllowance allowance = new ReceiveAllowance();

  /** Guards against bytes without end that belong to no answer. */
  @Test
  void bytesThatBelongToNoResponseAreBounded() {
    allowance.onRead((int) ReceiveAllowance.BASE_COST_BYTES);
    assertThat(allowance.isExceeded(), is(false));
    allowance.onRead(1);
    assertThat(allowance.isExceeded(), is(true));
  }

  /**
   * Guards against answers without end in pieces of one byte, each of which costs as a long one.
   */
  @Test
  void piecesOfOneByteAreBounded() {
    int pieces = 0;
    while (!allowance.isExceeded()) {
      receive(1, 6);
      pieces++;
    }
    assertThat(pieces, is(lessThan(10_000)));
  }

  @Test
  void longestResponseInChunksOfOneEventIsReceived() {
    for (int received = 0; received < LONGEST_BODY_BYTES; received += 16) {
      receive(16, 22);
    }
    assertThat(allowance.isExceeded(), is(false));
  }

  @Test
  void foreignResponseBeforeTheOwnOneIsPassedOver() {
    allowance.onRead(200_000);
    allowance.onPiece();
    receive(1_000, 1_200);
    assertThat(allowance.isExceeded(), is(false));
  }

  private void receive(int usefulBytes, int readBytes) {
    allowance.onRead(readBytes);
    allowance.onPiece();
    allowance.onUseful(usefulBytes);
  }
}
