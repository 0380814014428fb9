package io.snipeloom.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a prepaid budget.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text form, 1 to 96 characters
 */
public record BudgetId(@JsonValue String value) implements Comparable<BudgetId> {

  /** Checks the text form. */
  public BudgetId {
    Identifiers.requireWellFormed("budget id", value);
  }

  /**
   * Parses the text form.
   *
   * @throws SnipeloomException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  @JsonCreator
  public static BudgetId of(String value) {
    return new BudgetId(value);
  }

  @Override
  public int compareTo(BudgetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
