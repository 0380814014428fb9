package io.snipeloom.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.spend.LoanRequest;
import io.snipeloom.state.CustomerId;
import io.snipeloom.state.SnipeloomException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class LoanMessageTest {
  private static final LoanMessage ASK =
      new LoanMessage.Ask(7, new LoanRequest(CustomerId.of("customer"), 1_000, 5_000));
  private static final LoanMessage LENT = new LoanMessage.Lent(7, 3_000);

  @Test
  void encodedMessagesDecodeToEqualMessages() {
    assertThat(LoanMessage.parse(ASK.toBytes()), is(ASK));
    assertThat(LoanMessage.parse(LENT.toBytes()), is(LENT));
  }

  @Test
  void truncatedFramesAreRejected() {
    for (LoanMessage message : new LoanMessage[] {ASK, LENT}) {
      byte[] whole = message.toBytes();
      for (int length = 0; length < whole.length; length++) {
        byte[] cut = Arrays.copyOf(whole, length);
        assertThrows(SnipeloomException.class, () -> LoanMessage.parse(cut));
      }
    }
  }

  @Test
  void unsupportedVersionIsRejected() {
    byte[] other = LENT.toBytes();
    other[0] = LoanMessage.VERSION + 1;
    assertThrows(SnipeloomException.class, () -> LoanMessage.parse(other));
  }

  @Test
  void invalidTokenAmountsAreRejected() {
    CustomerId customer = CustomerId.of("customer");
    assertThrows(IllegalArgumentException.class, () -> new LoanRequest(customer, 0, 5));
    assertThrows(IllegalArgumentException.class, () -> new LoanRequest(customer, 5, 4));
    assertThrows(IllegalArgumentException.class, () -> new LoanMessage.Lent(1, -1));
  }
}
