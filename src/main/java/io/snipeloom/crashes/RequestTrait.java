package io.snipeloom.crashes;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.RendezvousHash;
import io.snipeloom.state.SnipeloomException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Something that requests have in common and that may crash the replicas that serve them. Immutable
 * and thread-safe.
 *
 * @param kind what the requests have in common
 * @param value its identifier, of 1 to {@link #MAX_LENGTH} characters
 */
public record RequestTrait(Kind kind, String value) {
  /** The longest identifier; a longer one is replaced by its hash. */
  public static final int MAX_LENGTH = 64;

  /** The length of the hash of a request; enough to tell all requests of a year apart. */
  private static final int HASH_BYTES = 16;

  private static final char SEPARATOR = ':';

  /** What requests have in common. */
  public enum Kind {
    /** A part of the prompt. */
    PART("part"),
    /** The whole request: its caller, its path and its body. */
    REQUEST("request");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    private static Kind parse(String text) {
      for (Kind kind : values()) {
        if (kind.text.equals(text)) {
          return kind;
        }
      }
      throw malformed(text);
    }
  }

  /** Checks the length of the identifier. */
  public RequestTrait {
    if (value.isEmpty() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("identifier must have 1 to " + MAX_LENGTH + " characters");
    }
  }

  /**
   * Returns the trait of all requests with a part in their prompts.
   *
   * @param partId the identifier of the part, not empty
   */
  public static RequestTrait ofPart(String partId) {
    boolean fits = partId.length() <= MAX_LENGTH;
    return new RequestTrait(
        Kind.PART, fits ? partId : Long.toHexString(RendezvousHash.hash(partId)));
  }

  /**
   * Returns the trait of all repetitions of one request, whatever their attempt IDs.
   *
   * @param caller what identifies the caller
   * @param target the method and the path
   * @param body the body
   */
  public static RequestTrait ofRequest(String caller, String target, ByteBuffer body) {
    MessageDigest digest = sha256();
    digest.update((caller + '\n' + target + '\n').getBytes(StandardCharsets.UTF_8));
    digest.update(body);
    byte[] hash = Arrays.copyOf(digest.digest(), HASH_BYTES);
    return new RequestTrait(Kind.REQUEST, HexFormat.of().formatHex(hash));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw SnipeloomException.of(ErrorCode.INTERNAL, "every Java platform has SHA-256")
          .withCause(e);
    }
  }

  /**
   * Parses the text form.
   *
   * @throws SnipeloomException with {@link ErrorCode#MALFORMED_RECORD} if it is none
   */
  public static RequestTrait parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      throw malformed(text);
    }
    String value = text.substring(separator + 1);
    if (value.isEmpty() || value.length() > MAX_LENGTH) {
      throw malformed(text);
    }
    return new RequestTrait(Kind.parse(text.substring(0, separator)), value);
  }

  private static SnipeloomException malformed(String text) {
    return SnipeloomException.of(ErrorCode.MALFORMED_RECORD, "not a trait of a request: " + text);
  }

  /** Returns the text form, the kind and the identifier. */
  @Override
  public String toString() {
    return kind.text + SEPARATOR + value;
  }
}
