package io.snipeloom.standin;

import io.netty.channel.Channel;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The open connections of a stand-in, by remote address. Thread-safe. */
final class Connections {
  private final FaultControl control;
  private final Map<SocketAddress, ConnectionFaults> open = new ConcurrentHashMap<>();

  private volatile boolean refusing;

  Connections(FaultControl control) {
    this.control = control;
  }

  /** Returns the handler of a new connection. */
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

  /** Sets whether new connections are closed at once, apart from the faults. */
  void refuse(boolean newRefusing) {
    refusing = newRefusing;
  }

  /** Returns whether new connections are closed at once. */
  boolean isRefusing() {
    return refusing || control.faults().down();
  }

  /** Returns whether all connections swallow what they receive. */
  boolean isSilent() {
    return control.faults().silent();
  }

  /** Runs an action when the connection from this address closes, or at once if it is closed. */
  void onClose(SocketAddress remote, Runnable action) {
    ConnectionFaults handler = open.get(remote);
    if (handler == null) {
      action.run();
    } else {
      handler.onClose(action);
    }
  }

  /** Forgets an action added by {@link #onClose}. */
  void forget(SocketAddress remote, Runnable action) {
    ConnectionFaults handler = open.get(remote);
    if (handler != null) {
      handler.forget(action);
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

  /** Makes all open connections silent for good. */
  void silenceAll() {
    open.values().forEach(ConnectionFaults::silence);
  }
}
