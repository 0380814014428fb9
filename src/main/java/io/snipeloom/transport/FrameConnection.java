package io.snipeloom.transport;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.Incarnation;

/**
 * An open connection to a peer that has proved the shared key.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface FrameConnection {

  /**
   * Returns the process at the other end.
   *
   * @return its incarnation
   */
  Incarnation peer();

  /**
   * Returns whether frames leave as fast as they are sent.
   *
   * @return false while too many bytes wait to be sent
   */
  boolean isWritable();

  /**
   * Sends a message; it is lost without notice if the connection is closing.
   *
   * @param message the message
   */
  void send(Message message);

  /**
   * Closes the connection.
   *
   * @param reason the reason, for the log
   */
  void close(String reason);
}
