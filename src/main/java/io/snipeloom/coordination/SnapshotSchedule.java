package io.snipeloom.coordination;

import java.time.Duration;

/**
 * When a snapshot in the log is old. Both bounds must lie well within the retention of the log.
 *
 * @param maxRecords the records after its start
 * @param maxAge the time since it was seen
 */
public record SnapshotSchedule(long maxRecords, Duration maxAge) {

  /**
   * Returns the schedule used unless settings say otherwise.
   *
   * @return the default schedule
   */
  public static SnapshotSchedule standard() {
    return new SnapshotSchedule(5_000, Duration.ofMinutes(10));
  }

  /**
   * Returns whether a new snapshot is due.
   *
   * @param records the records after the start of the last one
   * @param age the time since it was seen
   * @return true if it is due
   */
  boolean isOld(long records, Duration age) {
    return records > maxRecords || (records > 0 && age.compareTo(maxAge) > 0);
  }
}
