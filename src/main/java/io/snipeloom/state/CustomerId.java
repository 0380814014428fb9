package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a customer.
 *
 * <p>The text may be any that an operator chose as a name, so it is carried, compared and stored,
 * but never interpreted. Immutable and thread-safe.
 *
 * @param value the text form, 1 to 255 bytes in UTF-8
 */
public record CustomerId(@JsonValue String value) implements Comparable<CustomerId> {
  /** The longest text form, in bytes, which is the longest key of a stored record. */
  private static final int MAX_BYTES = 255;

  /** Begins the IDs of customers whose names are not IDs themselves. */
  private static final String DIGEST_PREFIX = "sha256:";

  /** Checks the length of the text form. */
  public CustomerId {
    if (value == null || !hasValidLength(value)) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_IDENTIFIER,
          "customer id must have 1 to %d bytes but was %s"
              .formatted(MAX_BYTES, Identifiers.truncated(value)));
    }
  }

  /**
   * Parses the text form.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  @JsonCreator
  public static CustomerId of(String value) {
    return new CustomerId(value);
  }

  /**
   * Returns the ID of the customer with a name, which may be any text: the name itself, or a digest
   * of one that is empty, too long or not valid Unicode. Different names have different IDs.
   */
  public static CustomerId ofName(String name) {
    boolean isId = hasValidLength(name) && isValidUnicode(name) && !name.startsWith(DIGEST_PREFIX);
    return new CustomerId(isId ? name : DIGEST_PREFIX + digest(name));
  }

  private static boolean hasValidLength(String text) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    return bytes >= 1 && bytes <= MAX_BYTES;
  }

  private static boolean isValidUnicode(String text) {
    return StandardCharsets.UTF_8.newEncoder().canEncode(text);
  }

  private static String digest(String name) {
    ByteBuffer units = ByteBuffer.allocate(name.length() * Character.BYTES);
    units.asCharBuffer().put(name);
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(units.array()));
    } catch (NoSuchAlgorithmException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "SHA-256 is not available").withCause(e);
    }
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
