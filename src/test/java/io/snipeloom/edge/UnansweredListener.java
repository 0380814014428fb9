package io.snipeloom.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A listener whose queue of connections is full, so that the kernel answers no further one. */
final class UnansweredListener implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 200;
  private static final int MOST_CONNECTIONS = 16;

  private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final List<Socket> queued = new ArrayList<>();

  UnansweredListener() throws IOException {
    boolean full = false;
    while (!full) {
      full = !isQueued();
    }
  }

  private boolean isQueued() throws IOException {
    if (queued.size() == MOST_CONNECTIONS) {
      throw new IllegalStateException("the queue does not fill up");
    }
    Socket socket = new Socket();
    queued.add(socket);
    try {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port()), CONNECT_TIMEOUT_MILLIS);
      return true;
    } catch (SocketTimeoutException e) {
      // The queue is full, as wanted.
      return false;
    }
  }

  int port() {
    return listener.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : queued) {
      socket.close();
    }
    listener.close();
  }
}
