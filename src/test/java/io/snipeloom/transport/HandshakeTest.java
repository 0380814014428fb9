package io.snipeloom.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.Messages;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import org.junit.jupiter.api.Test;

class HandshakeTest {
  private static final SharedKey KEY = SharedKey.of("a shared key of tests");

  private final Handshake client = handshake(Handshake.Side.CLIENT, KEY, 1);
  private final Handshake server = handshake(Handshake.Side.SERVER, KEY, 2);

  @Test
  void bothEndsProveTheKey() {
    meet(client, server);
    server.acceptProof(client.proof());
    client.acceptProof(server.proof());
    assertThat(server.peer(), is(Messages.ROUTER));
  }

  @Test
  void otherKeyIsRefused() {
    Handshake stranger = handshake(Handshake.Side.CLIENT, SharedKey.of("another key of tests"), 1);
    meet(stranger, server);
    assertRefused(() -> server.acceptProof(stranger.proof()));
  }

  @Test
  void proofSentBackToItsSignerIsRefused() {
    meet(client, server);
    Message.Proof own = server.proof();
    assertRefused(() -> server.acceptProof(own));
  }

  @Test
  void proofOfAnotherConnectionIsRefused() {
    meet(client, server);
    Message.Proof recorded = client.proof();
    Handshake later = handshake(Handshake.Side.SERVER, KEY, 3);
    later.acceptHello(client.hello());
    assertRefused(() -> later.acceptProof(recorded));
  }

  @Test
  void otherVersionIsRefused() {
    Message.Hello hello = new Message.Hello(99, Messages.ROUTER, new byte[16]);
    assertRefused(() -> server.acceptHello(hello));
  }

  private static Handshake handshake(Handshake.Side side, SharedKey key, int nonce) {
    byte[] bytes = new byte[Handshake.NONCE_BYTES];
    bytes[0] = (byte) nonce;
    var self = side == Handshake.Side.CLIENT ? Messages.ROUTER : Messages.SIDECAR;
    return new Handshake(side, key, self, bytes);
  }

  private static void meet(Handshake one, Handshake other) {
    one.acceptHello(other.hello());
    other.acceptHello(one.hello());
  }

  private static void assertRefused(org.junit.jupiter.api.function.Executable step) {
    SnipeloomException error = assertThrows(SnipeloomException.class, step);
    assertThat(error.code(), is(ErrorCode.UNAUTHENTICATED));
  }
}
