package io.snipeloom.transport;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret with which the processes of a fleet authenticate to each other.
 *
 * <p>Immutable and thread-safe. {@link #toString()} does not reveal the secret.
 */
public final class SharedKey {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_SECRET_CHARACTERS = 16;

  private final SecretKeySpec secret;

  private SharedKey(SecretKeySpec secret) {
    this.secret = secret;
  }

  /**
   * Creates a key from a secret.
   *
   * @param secret at least 16 characters
   * @throws SnipeloomException with {@link ErrorCode#INVALID_SETTINGS} if the secret is null or too
   *     short
   */
  public static SharedKey of(String secret) {
    if (secret == null || secret.length() < MIN_SECRET_CHARACTERS) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_SETTINGS, "shared key must have at least 16 characters");
    }
    return new SharedKey(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
  }

  /** Returns the HMAC-SHA-256 of the data. */
  public byte[] sign(byte[] data) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      return mac.doFinal(data);
    } catch (GeneralSecurityException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "HMAC-SHA-256 is not available").withCause(e);
    }
  }

  @Override
  public String toString() {
    return "SharedKey";
  }
}
