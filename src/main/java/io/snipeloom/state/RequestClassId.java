package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a request class.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, 1 to 96 characters
 */
public record RequestClassId(@JsonValue String value) implements Comparable<RequestClassId> {

  /** Checks the text form. */
  public RequestClassId {
    Identifiers.requireWellFormed("request class id", value);
  }

  /**
   * Parses the text form.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  @JsonCreator
  public static RequestClassId of(String value) {
    return new RequestClassId(value);
  }

  @Override
  public int compareTo(RequestClassId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
