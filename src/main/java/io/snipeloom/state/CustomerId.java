package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a customer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, 1 to 96 characters
 */
public record CustomerId(@JsonValue String value) implements Comparable<CustomerId> {

  /** Checks the text form. */
  public CustomerId {
    Identifiers.requireWellFormed("customer id", value);
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

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
