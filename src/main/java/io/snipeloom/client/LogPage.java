package io.snipeloom.client;

import java.util.List;

/**
 * A run of log records.
 *
 * @param firstRetained the smallest offset that the log still keeps
 * @param next the offset that the next append will get
 * @param records the records in order
 */
public record LogPage(long firstRetained, long next, List<LogRecord> records) {

  /** Copies the records. */
  public LogPage {
    records = List.copyOf(records);
  }
}
