package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a top-up.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, 1 to 96 characters
 */
public record TopUpId(@JsonValue String value) implements Comparable<TopUpId> {

  /** Checks the text form. */
  public TopUpId {
    Identifiers.requireWellFormed("top-up id", value);
  }

  /**
   * Parses the text form.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  @JsonCreator
  public static TopUpId of(String value) {
    return new TopUpId(value);
  }

  @Override
  public int compareTo(TopUpId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
