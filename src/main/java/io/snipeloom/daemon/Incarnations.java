package io.snipeloom.daemon;

import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import java.security.SecureRandom;
import java.util.HexFormat;

/** Generates the incarnation of a process. */
final class Incarnations {
  private static final int NONCE_BYTES = 8;

  private Incarnations() {}

  /**
   * Returns a new incarnation of an instance, with a random nonce that makes it unique.
   *
   * @param instance the instance that the process runs
   */
  static Incarnation generate(InstanceId instance) {
    byte[] nonce = new byte[NONCE_BYTES];
    new SecureRandom().nextBytes(nonce);
    return Incarnation.of(instance + "#" + HexFormat.of().formatHex(nonce));
  }
}
