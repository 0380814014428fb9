package io.snipeloom.coordination;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP proxy that can silently drop the bytes of its open connections. New connections are not
 * affected.
 */
final class ByteDroppingProxy {
  private final ServerSocket listener;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private volatile int targetPort;

  ByteDroppingProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  int connectionCount() {
    return connections.size();
  }

  void retarget(int port) {
    targetPort = port;
  }

  void dropBytes() {
    connections.forEach(connection -> connection.dropping = true);
  }

  void closeConnections() {
    connections.forEach(Connection::close);
  }

  void stop() throws IOException {
    listener.close();
    closeConnections();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket clientSocket = listener.accept();
        Connection connection =
            new Connection(clientSocket, new Socket(InetAddress.getLoopbackAddress(), targetPort));
        connections.add(connection);
        startThread(() -> connection.copy(connection.clientSocket, connection.targetSocket));
        startThread(() -> connection.copy(connection.targetSocket, connection.clientSocket));
      } catch (IOException e) {
        // The target refused the connection, or the proxy was stopped.
      }
    }
  }

  private static void startThread(Runnable body) {
    Thread thread = new Thread(body, "byte-dropping-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** A forwarded connection. */
  private static final class Connection {
    private final Socket clientSocket;
    private final Socket targetSocket;
    private volatile boolean dropping;

    Connection(Socket clientSocket, Socket targetSocket) {
      this.clientSocket = clientSocket;
      this.targetSocket = targetSocket;
    }

    void copy(Socket from, Socket to) {
      byte[] buffer = new byte[8192];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (!dropping) {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException e) {
        // One end closed the connection.
      }
      if (!dropping) {
        close();
      }
    }

    void close() {
      try {
        clientSocket.close();
        targetSocket.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
