package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an instance of the fleet. The identifier stays the same when the instance restarts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, 1 to 96 characters
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

  /** Checks the text form. */
  public InstanceId {
    Identifiers.requireWellFormed("instance id", value);
  }

  /**
   * Parses the text form.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  @JsonCreator
  public static InstanceId of(String value) {
    return new InstanceId(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
