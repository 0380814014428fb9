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
  void handshakeSucceedsWithTheSameKey() {
    exchangeHellos(client, server);
    server.acceptProof(client.proof());
    client.acceptProof(server.proof());
    assertThat(server.peer(), is(Messages.ROUTER));
  }

  @Test
  void proofWithAnotherKeyIsRejected() {
    Handshake otherClient =
        handshake(Handshake.Side.CLIENT, SharedKey.of("another key of tests"), 1);
    exchangeHellos(otherClient, server);
    assertUnauthenticated(() -> server.acceptProof(otherClient.proof()));
  }

  @Test
  void reflectedProofIsRejected() {
    exchangeHellos(client, server);
    Message.Proof serverProof = server.proof();
    assertUnauthenticated(() -> server.acceptProof(serverProof));
  }

  @Test
  void replayedProofIsRejectedOnAnotherConnection() {
    exchangeHellos(client, server);
    Message.Proof recorded = client.proof();
    Handshake laterServer = handshake(Handshake.Side.SERVER, KEY, 3);
    laterServer.acceptHello(client.hello());
    assertUnauthenticated(() -> laterServer.acceptProof(recorded));
  }

  @Test
  void unsupportedVersionIsRejected() {
    Message.Hello hello = new Message.Hello(99, Messages.ROUTER, new byte[16]);
    assertUnauthenticated(() -> server.acceptHello(hello));
  }

  private static Handshake handshake(Handshake.Side side, SharedKey key, int nonce) {
    byte[] bytes = new byte[Handshake.NONCE_BYTES];
    bytes[0] = (byte) nonce;
    var self = side == Handshake.Side.CLIENT ? Messages.ROUTER : Messages.SIDECAR;
    return new Handshake(side, key, self, bytes);
  }

  private static void exchangeHellos(Handshake first, Handshake second) {
    first.acceptHello(second.hello());
    second.acceptHello(first.hello());
  }

  private static void assertUnauthenticated(org.junit.jupiter.api.function.Executable step) {
    SnipeloomException error = assertThrows(SnipeloomException.class, step);
    assertThat(error.code(), is(ErrorCode.UNAUTHENTICATED));
  }
}
