package io.snipeloom.coordination;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards TCP connections; can swallow the bytes of those open now while new ones work. */
final class SwallowingProxy {
  private final ServerSocket listener;
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();
  private volatile int targetPort;

  SwallowingProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  int connections() {
    return pairs.size();
  }

  void retarget(int port) {
    targetPort = port;
  }

  void swallow() {
    pairs.forEach(pair -> pair.swallowing = true);
  }

  void cut() {
    pairs.forEach(Pair::close);
  }

  void stop() throws IOException {
    listener.close();
    cut();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        Pair pair = new Pair(near, new Socket(InetAddress.getLoopbackAddress(), targetPort));
        pairs.add(pair);
        startThread(() -> pair.copy(pair.near, pair.far));
        startThread(() -> pair.copy(pair.far, pair.near));
      } catch (IOException e) {
        // The target refused or the proxy is stopped.
      }
    }
  }

  private static void startThread(Runnable body) {
    Thread thread = new Thread(body, "swallowing-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** The two ends of a forwarded connection. */
  private static final class Pair {
    private final Socket near;
    private final Socket far;
    private volatile boolean swallowing;

    Pair(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }

    void copy(Socket from, Socket to) {
      byte[] buffer = new byte[8192];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (!swallowing) {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException e) {
        // One end closed.
      }
      if (!swallowing) {
        close();
      }
    }

    void close() {
      try {
        near.close();
        far.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
