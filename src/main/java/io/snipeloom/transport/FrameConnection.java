package io.snipeloom.transport;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.Incarnation;

/**
 * An open connection to a peer that has proved knowledge of the shared key.
 *
 * <p>Implementations are thread-safe and do not block.
 */
public interface FrameConnection {

  /** Returns the incarnation of the peer. */
  Incarnation peer();

  /**
   * Returns whether the outbound buffer has room for more messages.
   *
   * @return false once the unsent bytes exceed the high-water mark of the channel, until they fall
   *     below its low-water mark
   */
  boolean isWritable();

  /**
   * Sends a message asynchronously. The message is silently dropped if the connection is closing.
   */
  void send(Message message);

  /**
   * Closes the connection asynchronously.
   *
   * @param reason the reason to log and to report to the listener
   */
  void close(String reason);
}
