package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of an instance, from one start to the next. The text form consists of the
 * instance id, a hash sign and a nonce.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, 1 to 96 characters
 */
public record Incarnation(@JsonValue String value) implements Comparable<Incarnation> {
  private static final char SEPARATOR = '#';

  /** Checks the text form. */
  public Incarnation {
    Identifiers.requireWellFormed("incarnation", value);
  }

  /**
   * Parses the text form.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  @JsonCreator
  public static Incarnation of(String value) {
    return new Incarnation(value);
  }

  /**
   * Returns the incarnation of an instance with the given nonce.
   *
   * @param nonce a text that is different for each start of the instance
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public static Incarnation of(InstanceId instance, String nonce) {
    return new Incarnation(instance.value() + SEPARATOR + nonce);
  }

  /**
   * Returns the instance that this is an incarnation of.
   *
   * @return the part of the text form before the last hash sign, or all of it if there is none
   */
  public InstanceId instance() {
    int end = value.lastIndexOf(SEPARATOR);
    return InstanceId.of(end < 0 ? value : value.substring(0, end));
  }

  @Override
  public int compareTo(Incarnation other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
