package io.snipeloom.daemon;

import io.snipeloom.state.ConfigurationDocument;
import io.snipeloom.state.Customer;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Finds the customer that an API key names.
 *
 * <p>The configuration holds only the SHA-256 of each key. Thread-safe, without state.
 */
final class CallerAuthenticator {
  private static final String SCHEME = "Bearer ";
  private static final int MAX_KEY_LENGTH = 512;

  private CallerAuthenticator() {}

  /**
   * Returns the customer of a request.
   *
   * @param document the configuration in force
   * @param authorization the value of the Authorization header; null if absent
   * @return the customer
   * @throws SnipeloomException with {@link ErrorCode#UNAUTHENTICATED} for any other key
   */
  static Customer authenticate(ConfigurationDocument document, String authorization) {
    if (authorization == null
        || !authorization.startsWith(SCHEME)
        || authorization.length() > MAX_KEY_LENGTH) {
      throw refused();
    }
    String key = authorization.substring(SCHEME.length());
    return document
        .customerByKeyHash(sha256Hex(key))
        .filter(customer -> matches(customer, key))
        .orElseThrow(CallerAuthenticator::refused);
  }

  private static boolean matches(Customer customer, String key) {
    byte[] hash = sha256Hex(key).getBytes(StandardCharsets.US_ASCII);
    boolean found = false;
    for (String accepted : customer.apiKeyHashes()) {
      found |= MessageDigest.isEqual(hash, accepted.getBytes(StandardCharsets.US_ASCII));
    }
    return found;
  }

  /**
   * Returns the hash of a key as the configuration holds it.
   *
   * @param key the key
   * @return SHA-256 in lower-case hexadecimal
   */
  static String sha256Hex(String key) {
    return sha256Hex(key.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the hash of some bytes.
   *
   * @param bytes the bytes
   * @return SHA-256 in lower-case hexadecimal
   */
  static String sha256Hex(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private static SnipeloomException refused() {
    return SnipeloomException.of(ErrorCode.UNAUTHENTICATED, "the API key is not known")
        .withOrigin("authenticate", "");
  }
}
