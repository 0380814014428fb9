package io.snipeloom.routing;

import java.util.List;

/**
 * What a response says of the requests a second that its replica takes from all instances together.
 * Immutable.
 *
 * @param kind whether a limit is stated and can be read
 * @param perSecond the limit, at least 0; infinite unless the kind is {@link Kind#STATED}
 */
public record StatedLimit(Kind kind, double perSecond) {
  /** A response without a limit. */
  public static final StatedLimit NONE = new StatedLimit(Kind.NONE, Double.POSITIVE_INFINITY);

  private static final StatedLimit UNREADABLE =
      new StatedLimit(Kind.UNREADABLE, Double.POSITIVE_INFINITY);

  /** Whether a limit is stated. */
  public enum Kind {
    /** No limit is stated. */
    NONE,
    /** A limit is stated. */
    STATED,
    /** What is stated is no limit. */
    UNREADABLE
  }

  /**
   * Reads the values of a response; the lowest of several limits holds.
   *
   * @param values the texts that state limits, as decimal numbers
   */
  public static StatedLimit parse(List<String> values) {
    if (values.isEmpty()) {
      return NONE;
    }
    double lowest = Double.POSITIVE_INFINITY;
    for (String value : values) {
      lowest = Math.min(lowest, number(value));
    }
    return Double.isFinite(lowest) ? new StatedLimit(Kind.STATED, lowest) : UNREADABLE;
  }

  /** Returns the number, infinite if the text is not a finite number of at least 0. */
  private static double number(String text) {
    try {
      double value = Double.parseDouble(text.trim());
      return value >= 0 ? value : Double.POSITIVE_INFINITY;
    } catch (NumberFormatException e) {
      return Double.POSITIVE_INFINITY;
    }
  }
}
