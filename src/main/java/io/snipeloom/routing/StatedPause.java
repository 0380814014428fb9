package io.snipeloom.routing;

import java.util.List;

/**
 * How long a replica that rejected a request wants no further one, as its answer says. Immutable.
 *
 * @param kind whether a time is stated and can be read
 * @param millis the time in milliseconds, from 0 to {@link #MAX_MILLIS}; 0 unless the kind is
 *     {@link Kind#STATED}
 */
public record StatedPause(Kind kind, long millis) {
  /** An answer that states no time. */
  public static final StatedPause NONE = new StatedPause(Kind.NONE, 0);

  /** The longest time that is honoured, in milliseconds; a longer one counts as this. */
  public static final long MAX_MILLIS = 3_600_000L;

  private static final StatedPause UNREADABLE = new StatedPause(Kind.UNREADABLE, 0);
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Whether a time is stated. */
  public enum Kind {
    /** No time is stated. */
    NONE,
    /** A time is stated. */
    STATED,
    /** What is stated is no number of seconds of at least 0. */
    UNREADABLE
  }

  /** Checks the range. */
  public StatedPause {
    if (millis < 0 || millis > MAX_MILLIS) {
      throw new IllegalArgumentException("pause out of range: " + millis);
    }
  }

  /**
   * Reads the values of an answer; the longest of several holds.
   *
   * @param values the texts that state the time, as decimal numbers of seconds
   */
  public static StatedPause parse(List<String> values) {
    if (values.isEmpty()) {
      return NONE;
    }
    double longest = -1;
    for (String value : values) {
      longest = Math.max(longest, seconds(value));
    }
    return longest < 0
        ? UNREADABLE
        : new StatedPause(
            Kind.STATED, (long) Math.ceil(Math.min(MAX_MILLIS, longest * MILLIS_PER_SECOND)));
  }

  /** Returns the number of seconds, -1 if the text is no number of at least 0. */
  private static double seconds(String text) {
    try {
      double value = Double.parseDouble(text.trim());
      return value >= 0 ? value : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
