package io.snipeloom.transport;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;

/**
 * Receives the events of framed connections.
 *
 * <p>The events of one connection come in order from one thread; those of several may come at the
 * same time. Methods must not block.
 */
public interface FrameListener {

  /**
   * Learns that a peer has proved the shared key.
   *
   * @param connection the connection
   */
  void onOpened(FrameConnection connection);

  /**
   * Receives a message.
   *
   * @param connection the connection
   * @param message the message
   */
  void onMessage(FrameConnection connection, Message message);

  /**
   * Learns that a connection takes more bytes again.
   *
   * @param connection the connection
   */
  void onWritable(FrameConnection connection);

  /**
   * Learns that an opened connection is closed.
   *
   * @param connection the connection
   * @param reason why it was closed
   */
  void onClosed(FrameConnection connection, SnipeloomException reason);

  /**
   * Learns that a connection could not be opened. Only clients receive this event.
   *
   * @param reason why it was not opened
   */
  void onFailed(SnipeloomException reason);
}
