package io.snipeloom.transport;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that all processes of a fleet share and prove to each other.
 *
 * <p>Immutable and thread-safe. The text form never shows the secret.
 */
public final class SharedKey {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_LENGTH = 16;

  private final SecretKeySpec secret;

  private SharedKey(SecretKeySpec secret) {
    this.secret = secret;
  }

  /**
   * Returns the key with this secret.
   *
   * @param secret the secret, at least 16 characters
   * @return the key
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the secret is too short
   */
  public static SharedKey of(String secret) {
    if (secret == null || secret.length() < MIN_LENGTH) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_SETTINGS, "the shared key needs at least 16 characters");
    }
    return new SharedKey(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
  }

  /**
   * Returns the HMAC-SHA-256 of some bytes.
   *
   * @param data the bytes
   * @return the signature
   */
  public byte[] sign(byte[] data) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      return mac.doFinal(data);
    } catch (GeneralSecurityException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "HMAC is not available").withCause(e);
    }
  }

  @Override
  public String toString() {
    return "SharedKey";
  }
}
