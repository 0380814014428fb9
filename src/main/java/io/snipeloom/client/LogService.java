package io.snipeloom.client;

import java.time.Duration;

/**
 * The append-only log of the platform.
 *
 * <p>Implementations are thread-safe; calls block.
 */
public interface LogService {

  /**
   * Appends a record.
   *
   * @param stream the name of the stream
   * @param data the record
   * @return the offset of the record
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} if no answer came; the record may still have
   *     been written
   */
  long append(String stream, byte[] data);

  /**
   * Reads records in order of their offsets.
   *
   * @param stream the name of the stream
   * @param from the first offset wanted
   * @param limit the most records returned
   * @param wait how long to wait for a first record
   * @return the records found, possibly none
   * @throws io.snipeloom.state.SnipeloomException with {@link
   *     io.snipeloom.state.ErrorCode#LOG_UNAVAILABLE} if no answer came
   */
  LogPage read(String stream, long from, int limit, Duration wait);
}
