package io.snipeloom.standin;

import io.netty.channel.Channel;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The open connections of a stand-in, indexed by remote address. Thread-safe. */
final class Connections {
  private final FaultControl control;
  private final Map<SocketAddress, ConnectionFaults> open = new ConcurrentHashMap<>();

  private volatile boolean refusing;

  Connections(FaultControl control) {
    this.control = control;
  }

  /** Registers a new connection and returns its handler. */
  ConnectionFaults accept(Channel channel) {
    ConnectionFaults handler = new ConnectionFaults(this, channel);
    SocketAddress remote = channel.remoteAddress();
    open.put(remote, handler);
    channel
        .closeFuture()
        .addListener(
            future -> {
              open.remove(remote, handler);
              handler.runCloseActions();
            });
    return handler;
  }

  /** Sets whether new connections are closed on accept, independently of the configured faults. */
  void refuse(boolean newRefusing) {
    refusing = newRefusing;
  }

  /** Returns whether new connections are closed on accept. */
  boolean isRefusing() {
    return refusing || isDown();
  }

  /** Returns whether all connections are closed, or about to be, and nothing is served. */
  boolean isDown() {
    return control.faults().down();
  }

  /** Returns whether all connections discard their traffic. */
  boolean isSilent() {
    return control.faults().silent();
  }

  /**
   * Runs an action when the connection from this address closes, or immediately if it is already
   * closed.
   */
  void onClose(SocketAddress remote, Runnable action) {
    ConnectionFaults handler = open.get(remote);
    if (handler == null) {
      action.run();
    } else {
      handler.onClose(action);
    }
  }

  /** Removes an action added by {@link #onClose}. */
  void removeCloseAction(SocketAddress remote, Runnable action) {
    ConnectionFaults handler = open.get(remote);
    if (handler != null) {
      handler.removeCloseAction(action);
    }
  }

  /** Closes the connection from this address. */
  void close(SocketAddress remote) {
    ConnectionFaults handler = open.get(remote);
    if (handler != null) {
      handler.close();
    }
  }

  /** Closes all open connections. */
  void closeAll() {
    open.values().forEach(ConnectionFaults::close);
  }

  /** Makes all open connections discard their traffic until they close. */
  void silenceAll() {
    open.values().forEach(ConnectionFaults::silence);
  }
}
