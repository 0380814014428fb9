package io.snipeloom.routing;

import java.util.List;

/**
 * What a replica says of how long it stays cold, in its registry entry or in a response. Immutable.
 *
 * @param kind whether a time is stated and can be read
 * @param millis the time, in milliseconds; 0 unless the kind is {@link Kind#STATED}
 */
public record ColdReport(Kind kind, long millis) {
  /** An entry or a response without a time. */
  public static final ColdReport NONE = new ColdReport(Kind.NONE, 0);

  /** A time that cannot be read, or cannot be meant. */
  public static final ColdReport UNREADABLE = new ColdReport(Kind.UNREADABLE, 0);

  /** A longer time cannot be meant. */
  private static final long MAX_MILLIS = 600_000;

  /** Whether a time is stated. */
  public enum Kind {
    /** No time is stated. */
    NONE,
    /** A time is stated. */
    STATED,
    /** What is stated is no time. */
    UNREADABLE
  }

  /**
   * Returns a report of a time.
   *
   * @param millis the time, in milliseconds
   * @return the report, which is unreadable if the time is negative or cannot be meant
   */
  public static ColdReport of(double millis) {
    boolean valid = millis >= 0 && millis <= MAX_MILLIS;
    return valid ? new ColdReport(Kind.STATED, (long) Math.ceil(millis)) : UNREADABLE;
  }

  /**
   * Reads the values of a response; the longest of several times holds.
   *
   * @param values the texts that state times, as decimal numbers of milliseconds
   */
  public static ColdReport parse(List<String> values) {
    ColdReport longest = NONE;
    for (String value : values) {
      ColdReport report = parse(value);
      if (report.kind() == Kind.UNREADABLE) {
        return UNREADABLE;
      }
      if (longest.kind() == Kind.NONE || report.millis() > longest.millis()) {
        longest = report;
      }
    }
    return longest;
  }

  private static ColdReport parse(String value) {
    try {
      return of(Double.parseDouble(value.trim()));
    } catch (NumberFormatException e) {
      return UNREADABLE;
    }
  }

  /** Returns whether the replica says that it is not cold. */
  public boolean isWarm() {
    return kind == Kind.STATED && millis == 0;
  }

  /** Returns whether the replica says that it is cold, or something that cannot be read. */
  public boolean isCold() {
    return kind == Kind.UNREADABLE || (kind == Kind.STATED && millis > 0);
  }
}
