package io.snipeloom.resumption;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of recent streams that this instance knows, and which of them it has yet to record.
 * Bounded in age and size. Not thread-safe.
 */
final class OriginMemory {
  /** Longer than any stream lasts, with the caller's attempts to resume it. */
  static final long RETENTION_NANOS = 180_000_000_000L;

  private static final int MAX_STREAMS = 50_000;

  /** Longer attempt IDs are not recorded, so that a batch fits into a record of the store. */
  static final int MAX_RECORDED_ID_CHARS = 200;

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, StreamOrigin> unrecorded = new LinkedHashMap<>();

  private long overflowNanos;
  private boolean overflowed;

  /**
   * The origin of a stream.
   *
   * @param own whether the stream began at this instance
   */
  private record Entry(StreamOrigin origin, long sinceNanos, boolean own) {}

  /** Adds the origin of a stream that began at this instance. */
  void putUnrecorded(String attempt, StreamOrigin origin, long nowNanos) {
    entries.putIfAbsent(attempt, new Entry(origin, nowNanos, true));
    if (attempt.length() <= MAX_RECORDED_ID_CHARS) {
      unrecorded.put(attempt, origin);
    }
  }

  /** Adds the origin of a stream that some instance has recorded. */
  void putRecorded(OriginRecord record, long nowNanos) {
    entries.putIfAbsent(record.attempt(), new Entry(record.origin(), nowNanos, false));
  }

  /** Returns whether all streams are known that began here and that callers may resume now. */
  boolean isComplete(long nowNanos) {
    return !overflowed || nowNanos - overflowNanos > RETENTION_NANOS;
  }

  Optional<StreamOrigin> find(String attempt) {
    return Optional.ofNullable(entries.get(attempt)).map(Entry::origin);
  }

  /**
   * Returns origins that are not recorded yet, oldest first.
   *
   * @param limit the maximum number of origins
   */
  List<OriginRecord> unrecorded(int limit) {
    List<OriginRecord> found = new ArrayList<>();
    for (Map.Entry<String, StreamOrigin> entry : unrecorded.entrySet()) {
      if (found.size() == limit) {
        break;
      }
      found.add(new OriginRecord(entry.getKey(), entry.getValue()));
    }
    return found;
  }

  void markRecorded(List<OriginRecord> records) {
    records.forEach(record -> unrecorded.remove(record.attempt()));
  }

  /** Drops the oldest entries that are too old or too many. */
  void expire(long nowNanos) {
    Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<String, Entry> entry = oldest.next();
      boolean old = nowNanos - entry.getValue().sinceNanos() > RETENTION_NANOS;
      if (!old && entries.size() <= MAX_STREAMS) {
        return;
      }
      if (!old && entry.getValue().own()) {
        overflowed = true;
        overflowNanos = nowNanos;
      }
      oldest.remove();
      unrecorded.remove(entry.getKey());
    }
  }
}
