package io.snipeloom.protocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
  private static final long SEED = 20261203L;
  private static final int MUTATIONS = 20_000;

  @Test
  void decodingReversesEncodingForEveryMessageType() {
    for (Message message : Messages.samplesOfAllTypes()) {
      byte[] bytes = MessageCodec.encode(message);
      Message decoded = MessageCodec.decode(bytes);
      assertThat(message.toString(), decoded.getClass(), is((Object) message.getClass()));
      assertThat(message.toString(), MessageCodec.encode(decoded), is(bytes));
    }
  }

  @Test
  void truncatedAndExtendedFramesAreMalformed() {
    for (Message message : Messages.samplesOfAllTypes()) {
      byte[] bytes = MessageCodec.encode(message);
      for (int length = 0; length < bytes.length; length++) {
        byte[] truncated = Arrays.copyOf(bytes, length);
        assertMalformed(message + " truncated to " + length, truncated);
      }
      assertMalformed(message + " with an extra byte", Arrays.copyOf(bytes, bytes.length + 1));
    }
  }

  @Test
  void declaredLengthBeyondTheEndOfTheFrameIsMalformed() {
    byte[] hugeBinary = {(byte) 0x92, 2, (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
    byte[] hugeHeaders = {
      (byte) 0x95, 6, (byte) 0xa1, 'r', 1, (byte) 0xcc, (byte) 200, (byte) 0xdd, 0x7f, -1, -1, -1
    };
    assertMalformed("binary", hugeBinary);
    assertMalformed("headers", hugeHeaders);
  }

  @Test
  void randomlyMutatedFramesAreDecodedOrMalformed() {
    Random random = new Random(SEED);
    List<Message> messages = Messages.samplesOfAllTypes();
    for (int i = 0; i < MUTATIONS; i++) {
      byte[] bytes = MessageCodec.encode(messages.get(random.nextInt(messages.size())));
      for (int flips = random.nextInt(4); flips >= 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      requireDecodedOrMalformed("seed " + SEED + " mutation " + i, bytes);
    }
  }

  private static void assertMalformed(String description, byte[] bytes) {
    SnipeloomException error =
        assertThrows(SnipeloomException.class, () -> MessageCodec.decode(bytes), description);
    assertThat(description, error.code(), is(ErrorCode.MALFORMED_FRAME));
  }

  private static void requireDecodedOrMalformed(String description, byte[] bytes) {
    try {
      MessageCodec.decode(bytes);
    } catch (SnipeloomException e) {
      assertThat(description, e.code(), is(ErrorCode.MALFORMED_FRAME));
    } catch (RuntimeException e) {
      throw new AssertionError(description, e);
    }
  }
}
