package io.snipeloom.client;

import java.util.List;

/**
 * A page of log records.
 *
 * @param firstRetained the smallest offset that the log still retains
 * @param next the offset of the next record to be appended
 * @param records the records in order of their offsets
 */
public record LogPage(long firstRetained, long next, List<LogRecord> records) {

  /** Copies the list of records. */
  public LogPage {
    records = List.copyOf(records);
  }
}
