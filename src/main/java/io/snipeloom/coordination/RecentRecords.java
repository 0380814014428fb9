package io.snipeloom.coordination;

import io.snipeloom.client.LogPage;
import io.snipeloom.client.LogRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * The records that a replica applied most recently, bounded in number and in bytes, for peers that
 * cannot read the log.
 *
 * <p>Thread-safe; guarded by its own monitor.
 */
final class RecentRecords {
  private static final int MAX_RECORDS = 20_000;
  private static final long MAX_BYTES = 16L << 20;

  private final TreeMap<Long, LogRecord> records = new TreeMap<>();
  private long bytes;

  /** Adds the next record and drops the oldest ones beyond the bounds. */
  synchronized void add(LogRecord record) {
    records.put(record.offset(), record);
    bytes += record.data().length;
    while (records.size() > MAX_RECORDS || bytes > MAX_BYTES) {
      bytes -= records.pollFirstEntry().getValue().data().length;
    }
  }

  /** Removes all records, for a replica that is reset. */
  synchronized void clear() {
    records.clear();
    bytes = 0;
  }

  /**
   * Returns consecutive records.
   *
   * @param from the first offset to return
   * @param limit the maximum number of records
   * @return the records; the first retained and the next offset of the page are those of the
   *     records kept here
   */
  synchronized LogPage page(long from, int limit) {
    if (records.isEmpty()) {
      return new LogPage(from, from, List.of());
    }
    Collection<LogRecord> available = records.tailMap(from, true).values();
    List<LogRecord> page = new ArrayList<>();
    for (LogRecord record : available) {
      if (page.size() == limit) {
        break;
      }
      page.add(record);
    }
    return new LogPage(records.firstKey(), records.lastKey() + 1, page);
  }
}
