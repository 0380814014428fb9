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
  private static final LoanMessage REQUEST =
      new LoanMessage.Request(7, new LoanRequest(CustomerId.of("customer"), 1_000, 5_000));
  private static final LoanMessage RESPONSE = new LoanMessage.Response(7, 3_000);

  @Test
  void encodedMessagesDecodeToEqualMessages() {
    assertThat(LoanMessage.parse(REQUEST.toBytes()), is(REQUEST));
    assertThat(LoanMessage.parse(RESPONSE.toBytes()), is(RESPONSE));
  }

  @Test
  void truncatedFramesAreRejected() {
    for (LoanMessage message : new LoanMessage[] {REQUEST, RESPONSE}) {
      byte[] complete = message.toBytes();
      for (int length = 0; length < complete.length; length++) {
        byte[] truncated = Arrays.copyOf(complete, length);
        assertThrows(SnipeloomException.class, () -> LoanMessage.parse(truncated));
      }
    }
  }

  @Test
  void unsupportedVersionIsRejected() {
    byte[] other = RESPONSE.toBytes();
    other[0] = LoanMessage.VERSION + 1;
    assertThrows(SnipeloomException.class, () -> LoanMessage.parse(other));
  }

  @Test
  void invalidTokenAmountsAreRejected() {
    CustomerId customer = CustomerId.of("customer");
    assertThrows(IllegalArgumentException.class, () -> new LoanRequest(customer, 0, 5));
    assertThrows(IllegalArgumentException.class, () -> new LoanRequest(customer, 5, 4));
    assertThrows(IllegalArgumentException.class, () -> new LoanMessage.Response(1, -1));
  }
}
