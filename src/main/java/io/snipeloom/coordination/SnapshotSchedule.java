package io.snipeloom.coordination;

import java.time.Duration;

/**
 * The limits beyond which the latest snapshot in the log is too old. Both must be well below the
 * retention of the log.
 *
 * @param maxRecords the maximum number of records after the start of the snapshot
 * @param maxAge the maximum time since this process first saw the snapshot
 */
public record SnapshotSchedule(long maxRecords, Duration maxAge) {

  /** Returns the default schedule. */
  public static SnapshotSchedule standard() {
    return new SnapshotSchedule(5_000, Duration.ofMinutes(10));
  }

  /**
   * Returns whether a new snapshot is due.
   *
   * @param records the number of records after the start of the latest snapshot
   * @param age the time since this process first saw that snapshot
   */
  boolean isSnapshotDue(long records, Duration age) {
    return records > maxRecords || (records > 0 && age.compareTo(maxAge) > 0);
  }
}
