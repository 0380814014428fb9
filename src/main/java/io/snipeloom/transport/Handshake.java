package io.snipeloom.transport;

import io.snipeloom.protocol.Message;
import io.snipeloom.protocol.MessageCodec;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.Incarnation;
import io.snipeloom.state.SnipeloomException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The mutual proof of the shared key at the start of a connection.
 *
 * <p>Each end signs its side, both identities and both nonces, so that a proof fits one connection
 * and one direction only. The client proves first; a server signs nothing for a stranger. Not
 * thread-safe.
 */
final class Handshake {
  static final int NONCE_BYTES = 16;
  private static final int CLIENT_MARK = 1;
  private static final int SERVER_MARK = 2;

  /** The two ends of a connection. */
  enum Side {
    CLIENT,
    SERVER;

    Side other() {
      return this == CLIENT ? SERVER : CLIENT;
    }
  }

  private final Side side;
  private final SharedKey key;
  private final Message.Hello ownHello;
  private Message.Hello peerHello;

  Handshake(Side side, SharedKey key, Incarnation self, byte[] nonce) {
    this.side = side;
    this.key = key;
    this.ownHello = new Message.Hello(MessageCodec.VERSION, self, nonce);
  }

  Side side() {
    return side;
  }

  Message.Hello hello() {
    return ownHello;
  }

  Incarnation peer() {
    return peerHello.sender();
  }

  boolean hasPeerHello() {
    return peerHello != null;
  }

  void acceptHello(Message.Hello hello) {
    if (hello.version() != MessageCodec.VERSION) {
      throw refused("protocol version " + hello.version() + " is not spoken here");
    }
    if (hello.nonce().length != NONCE_BYTES) {
      throw refused("the nonce has the wrong length");
    }
    peerHello = hello;
  }

  Message.Proof proof() {
    return new Message.Proof(signature(side, ownHello, peerHello));
  }

  void acceptProof(Message.Proof proof) {
    byte[] expected = signature(side.other(), peerHello, ownHello);
    if (!MessageDigest.isEqual(expected, proof.signature())) {
      throw refused("the peer does not know the shared key");
    }
  }

  private byte[] signature(Side signer, Message.Hello from, Message.Hello to) {
    byte[] fromId = from.sender().value().getBytes(StandardCharsets.UTF_8);
    byte[] toId = to.sender().value().getBytes(StandardCharsets.UTF_8);
    ByteBuffer data =
        ByteBuffer.allocate(3 * Integer.BYTES + fromId.length + toId.length + 2 * NONCE_BYTES);
    data.putInt(signer == Side.CLIENT ? CLIENT_MARK : SERVER_MARK);
    data.putInt(fromId.length).put(fromId);
    data.putInt(toId.length).put(toId);
    data.put(from.nonce()).put(to.nonce());
    return key.sign(data.array());
  }

  private static SnipeloomException refused(String reason) {
    return SnipeloomException.of(ErrorCode.UNAUTHENTICATED, reason).withOrigin("handshake", "");
  }
}
