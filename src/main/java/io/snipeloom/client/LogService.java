package io.snipeloom.client;

import java.time.Duration;

/**
 * The append-only log of the platform. It consists of named streams of records.
 *
 * <p>Implementations are thread-safe. Calls block.
 */
public interface LogService {

  /**
   * Appends a record to a stream.
   *
   * @param data the content of the record
   * @return the offset of the appended record
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} if the append did not succeed; the record may
   *     nevertheless have been written
   */
  long append(String stream, byte[] data);

  /**
   * Reads records in order of their offsets.
   *
   * @param firstOffset the smallest offset to return
   * @param limit the maximum number of records
   * @param wait the maximum time to wait if there are no records yet
   * @return the records; empty if none were found within the wait
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} if the read did not succeed
   */
  LogPage read(String stream, long firstOffset, int limit, Duration wait);
}
