package io.snipeloom.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.resumption.OriginRecord;
import io.snipeloom.resumption.PeerAnswer;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.routing.SoftwareVersion;
import io.snipeloom.state.SnipeloomException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class OriginMessageTest {
  private static final int GARBAGE_FRAMES = 10_000;
  private static final int GARBAGE_BYTES = 64;
  private static final OriginMessage REQUEST = new OriginMessage.Request(7, List.of("a", "b"));
  private static final OriginMessage RESPONSE =
      new OriginMessage.Response(
          7,
          new PeerAnswer(
              "edge-1-1",
              true,
              List.of(new OriginRecord("a", new StreamOrigin("llm", new SoftwareVersion("v1"))))));

  @Test
  void encodedMessagesDecodeToEqualMessages() {
    assertThat(PeerMessage.parse(REQUEST.toBytes()), is(REQUEST));
    assertThat(PeerMessage.parse(RESPONSE.toBytes()), is(RESPONSE));
  }

  @Test
  void truncatedFramesAreRejected() {
    for (OriginMessage message : List.of(REQUEST, RESPONSE)) {
      byte[] complete = message.toBytes();
      for (int length = 0; length < complete.length; length++) {
        byte[] truncated = Arrays.copyOf(complete, length);
        assertThrows(SnipeloomException.class, () -> OriginMessage.parse(truncated));
      }
    }
  }

  @Test
  void foreignVersionIsRejected() {
    byte[] other = RESPONSE.toBytes();
    other[0] = OriginMessage.VERSION + 1;
    assertThrows(SnipeloomException.class, () -> OriginMessage.parse(other));
    assertThrows(SnipeloomException.class, () -> PeerMessage.parse(other));
  }

  /** Guards against a frame that makes an instance hold a list of any length. */
  @Test
  void listThatIsTooLongIsRejected() {
    byte[] longest = request(OriginMessage.MAX_STREAMS).toBytes();
    assertThat(OriginMessage.parse(longest), is(request(OriginMessage.MAX_STREAMS)));
    byte[] longer = request(OriginMessage.MAX_STREAMS + 1).toBytes();
    assertThrows(SnipeloomException.class, () -> OriginMessage.parse(longer));
  }

  /** Guards against an exception of another kind, which would not close the connection. */
  @Test
  void garbageIsRejectedOrRead() {
    Random random = new Random(1);
    for (int i = 0; i < GARBAGE_FRAMES; i++) {
      byte[] garbage = new byte[1 + random.nextInt(GARBAGE_BYTES)];
      random.nextBytes(garbage);
      garbage[0] = OriginMessage.VERSION;
      try {
        assertThat(OriginMessage.parse(garbage), instanceOf(OriginMessage.class));
      } catch (SnipeloomException e) {
        assertThat(e, instanceOf(SnipeloomException.class));
      }
    }
  }

  private static OriginMessage request(int streams) {
    return new OriginMessage.Request(7, Collections.nCopies(streams, "a"));
  }
}
