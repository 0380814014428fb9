package io.snipeloom.daemon;

import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import java.security.SecureRandom;
import java.util.HexFormat;

/** Makes the incarnation of a process. */
final class Incarnations {
  private static final int NONCE_BYTES = 8;

  private Incarnations() {}

  /**
   * Returns an incarnation that no other start of the slot has.
   *
   * @param instance the slot
   * @return the incarnation
   */
  static Incarnation fresh(InstanceId instance) {
    byte[] nonce = new byte[NONCE_BYTES];
    new SecureRandom().nextBytes(nonce);
    return Incarnation.of(instance + "#" + HexFormat.of().formatHex(nonce));
  }
}
