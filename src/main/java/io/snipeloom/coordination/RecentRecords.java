package io.snipeloom.coordination;

import io.snipeloom.client.LogPage;
import io.snipeloom.client.LogRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * The records that a replica applied lately, bounded in number and bytes, for peers that cannot
 * read the log.
 *
 * <p>Thread-safe under its own lock.
 */
final class RecentRecords {
  private static final int MAX_RECORDS = 20_000;
  private static final long MAX_BYTES = 16L << 20;

  private final TreeMap<Long, LogRecord> records = new TreeMap<>();
  private long bytes;

  /**
   * Adds the next record.
   *
   * @param record the record
   */
  synchronized void add(LogRecord record) {
    records.put(record.offset(), record);
    bytes += record.data().length;
    while (records.size() > MAX_RECORDS || bytes > MAX_BYTES) {
      bytes -= records.pollFirstEntry().getValue().data().length;
    }
  }

  /** Forgets everything, since the replica starts anew. */
  synchronized void clear() {
    records.clear();
    bytes = 0;
  }

  /**
   * Returns a run of records.
   *
   * @param from the first offset wanted
   * @param limit the most records returned
   * @return the records; its ends are those of what is kept here
   */
  synchronized LogPage page(long from, int limit) {
    if (records.isEmpty()) {
      return new LogPage(from, from, List.of());
    }
    Collection<LogRecord> wanted = records.tailMap(from, true).values();
    List<LogRecord> page = new ArrayList<>();
    for (LogRecord record : wanted) {
      if (page.size() == limit) {
        break;
      }
      page.add(record);
    }
    return new LogPage(records.firstKey(), records.lastKey() + 1, page);
  }
}
