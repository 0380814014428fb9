package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one start of an instance; the text is the instance id, a hash sign and a nonce.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, 1 to 96 characters
 */
public record Incarnation(@JsonValue String value) implements Comparable<Incarnation> {

  /** Checks the text form. */
  public Incarnation {
    Identifiers.checked("incarnation", value);
  }

  /**
   * Returns the identifier with this text form.
   *
   * @param value the text form
   * @return the identifier
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  @JsonCreator
  public static Incarnation of(String value) {
    return new Incarnation(value);
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
