package io.snipeloom.standin;

import io.snipeloom.client.LogPage;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;

/** The streams of the log by name; each has its own lock. Thread-safe. */
final class LogStreams {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:#-]{0,95}");
  private static final int MAX_STREAMS = 10_000;
  private static final int MAX_RECORD_BYTES = 2 << 20;
  private static final int MAX_LIMIT = 10_000;
  private static final long MAX_WAIT_MILLIS = 60_000;

  private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

  /** Appends a record to a stream and returns its offset. */
  long append(String name, byte[] data, int retain) {
    if (data == null) {
      throw invalid("/data is missing");
    }
    if (data.length > MAX_RECORD_BYTES) {
      throw SnipeloomException.of(
          ErrorCode.BODY_TOO_LARGE, "a record must not exceed " + MAX_RECORD_BYTES + " bytes");
    }
    return stream(name).append(data, retain);
  }

  /** Reads records of a stream; waits if there are none at or after the offset yet. */
  CompletableFuture<LogPage> read(String name, long from, int limit, long waitMillis, int retain) {
    if (from < 0) {
      throw invalid("from must not be negative");
    }
    if (limit < 1 || limit > MAX_LIMIT) {
      throw invalid("limit must be between 1 and " + MAX_LIMIT);
    }
    if (waitMillis < 0 || waitMillis > MAX_WAIT_MILLIS) {
      throw invalid("waitMillis must be between 0 and " + MAX_WAIT_MILLIS);
    }
    return stream(name).read(from, limit, waitMillis, retain);
  }

  private LogStream stream(String name) {
    if (!NAME.matcher(name).matches()) {
      throw invalid("a stream name must match " + NAME);
    }
    if (streams.size() >= MAX_STREAMS && !streams.containsKey(name)) {
      throw SnipeloomException.of(ErrorCode.OVERLOADED, "too many streams");
    }
    return streams.computeIfAbsent(name, key -> new LogStream());
  }

  private static SnipeloomException invalid(String message) {
    return SnipeloomException.of(ErrorCode.INVALID_REQUEST, message);
  }
}
