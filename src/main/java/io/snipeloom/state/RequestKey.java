package io.snipeloom.state;

import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * Identifies a request of a customer across all its attempts and retries.
 *
 * <p>A token that is a version 7 UUID (RFC 9562) contains the issue time of the key. Immutable and
 * thread-safe.
 *
 * @param customer the customer that owns the key
 * @param token the idempotency key, 1 to 128 printable ASCII characters without spaces
 */
public record RequestKey(CustomerId customer, String token) {
  private static final Pattern TOKEN_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,128}");
  private static final Pattern UUID_V7_PATTERN =
      Pattern.compile(
          "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
  private static final int TIMESTAMP_SHIFT_BITS = 16;

  /** Checks the token. */
  public RequestKey {
    if (token == null || !TOKEN_PATTERN.matcher(token).matches()) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_IDENTIFIER,
          "an idempotency key must be 1 to 128 printable ASCII characters without spaces");
    }
  }

  /**
   * Returns the key with the given token.
   *
   * @param customer the customer that owns the key
   * @param token the idempotency key
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the token is malformed
   */
  public static RequestKey of(CustomerId customer, String token) {
    return new RequestKey(customer, token);
  }

  /**
   * Generates a new key, whose token is a version 7 UUID.
   *
   * @param customer the customer that owns the key
   * @param nowMillis the issue time in milliseconds since the epoch
   * @param randomBits a UUID with at least 74 random bits
   */
  public static RequestKey generate(CustomerId customer, long nowMillis, UUID randomBits) {
    long high =
        (nowMillis << TIMESTAMP_SHIFT_BITS)
            | 0x7000L
            | (randomBits.getMostSignificantBits() & 0x0fffL);
    long low = 0x8000000000000000L | (randomBits.getLeastSignificantBits() & 0x3fffffffffffffffL);
    return new RequestKey(customer, new UUID(high, low).toString());
  }

  /**
   * Returns the issue time contained in the token.
   *
   * @return milliseconds since the epoch; empty if the token is not a version 7 UUID
   */
  public OptionalLong issuedAtMillis() {
    if (!UUID_V7_PATTERN.matcher(token).matches()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(
        UUID.fromString(token).getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS);
  }
}
