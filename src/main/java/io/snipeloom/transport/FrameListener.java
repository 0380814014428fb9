package io.snipeloom.transport;

import io.snipeloom.protocol.Message;
import io.snipeloom.state.SnipeloomException;

/**
 * Receives the events of framed connections.
 *
 * <p>The events of one connection are delivered in order on one thread; events of different
 * connections may be delivered concurrently. Methods must not block.
 */
public interface FrameListener {

  /** Called when the handshake of a connection has succeeded. */
  void onOpened(FrameConnection connection);

  /** Called for each message received after the handshake, including heartbeats. */
  void onMessage(FrameConnection connection, Message message);

  /** Called when a connection becomes writable again; see {@link FrameConnection#isWritable()}. */
  void onWritable(FrameConnection connection);

  /**
   * Called when a connection whose handshake had succeeded is closed.
   *
   * @param reason why the connection was closed
   */
  void onClosed(FrameConnection connection, SnipeloomException reason);

  /**
   * Called when a connection could not be established or its handshake failed. Only clients receive
   * this event.
   *
   * @param reason why the attempt failed
   */
  void onFailed(SnipeloomException reason);
}
