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
 * Mutual authentication with the shared key at the start of a connection.
 *
 * <p>Each end signs its role, both identities and both nonces, so that a proof can be neither
 * replayed on another connection nor reflected to its sender. The client proves its knowledge of
 * the key first, so that a server signs nothing for an unauthenticated client. Not thread-safe.
 */
final class Handshake {
  static final int NONCE_BYTES = 16;
  private static final int CLIENT_TAG = 1;
  private static final int SERVER_TAG = 2;

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
      throw rejected("protocol version " + hello.version() + " is not supported");
    }
    if (hello.nonce().length != NONCE_BYTES) {
      throw rejected("nonce has the wrong length");
    }
    peerHello = hello;
  }

  Message.Proof proof() {
    return new Message.Proof(signature(side, ownHello, peerHello));
  }

  void acceptProof(Message.Proof proof) {
    byte[] expected = signature(side.other(), peerHello, ownHello);
    if (!MessageDigest.isEqual(expected, proof.signature())) {
      throw rejected("proof does not match the shared key");
    }
  }

  private byte[] signature(Side signer, Message.Hello sender, Message.Hello receiver) {
    byte[] senderId = sender.sender().value().getBytes(StandardCharsets.UTF_8);
    byte[] receiverId = receiver.sender().value().getBytes(StandardCharsets.UTF_8);
    ByteBuffer data =
        ByteBuffer.allocate(
            3 * Integer.BYTES + senderId.length + receiverId.length + 2 * NONCE_BYTES);
    data.putInt(signer == Side.CLIENT ? CLIENT_TAG : SERVER_TAG);
    data.putInt(senderId.length).put(senderId);
    data.putInt(receiverId.length).put(receiverId);
    data.put(sender.nonce()).put(receiver.nonce());
    return key.sign(data.array());
  }

  private static SnipeloomException rejected(String reason) {
    return SnipeloomException.of(ErrorCode.UNAUTHENTICATED, reason).withOrigin("handshake", "");
  }
}
