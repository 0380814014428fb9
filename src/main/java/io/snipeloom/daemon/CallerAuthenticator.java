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
 * Finds the customer to whom an API key belongs.
 *
 * <p>The configuration holds only the SHA-256 of each key. Stateless and thread-safe.
 */
final class CallerAuthenticator {
  private static final String SCHEME = "Bearer ";
  private static final int MAX_KEY_LENGTH = 512;

  private CallerAuthenticator() {}

  /**
   * Returns the customer whose API key a request carries.
   *
   * @param document the current configuration
   * @param authorization the value of the Authorization header; null if absent
   * @throws SnipeloomException with {@link ErrorCode#UNAUTHENTICATED} if the header holds no API
   *     key of a customer
   */
  static Customer authenticate(ConfigurationDocument document, String authorization) {
    if (authorization == null
        || !authorization.startsWith(SCHEME)
        || authorization.length() > MAX_KEY_LENGTH) {
      throw unauthenticated();
    }
    String key = authorization.substring(SCHEME.length());
    return document
        .customerByKeyHash(sha256Hex(key))
        .filter(customer -> matches(customer, key))
        .orElseThrow(CallerAuthenticator::unauthenticated);
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
   * Returns the hash of an API key in the form in which the configuration holds it.
   *
   * @return SHA-256 in lower-case hexadecimal
   */
  static String sha256Hex(String key) {
    return sha256Hex(key.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the hash of the given bytes.
   *
   * @return SHA-256 in lower-case hexadecimal
   */
  static String sha256Hex(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private static SnipeloomException unauthenticated() {
    return SnipeloomException.of(ErrorCode.UNAUTHENTICATED, "the API key is not known")
        .withOrigin("authenticate", "");
  }
}
