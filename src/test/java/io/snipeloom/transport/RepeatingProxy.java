package io.snipeloom.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;

/**
 * A TCP proxy that sends what a server answers once more, some time later.
 *
 * <p>Thread-safe.
 */
public final class RepeatingProxy implements AutoCloseable {
  /** The time in which the parts of one answer arrive. */
  private static final long ANSWER_MILLIS = 3;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final long delayMillis;
  private volatile boolean repeating;

  /** Starts a proxy that repeats each answer after a delay, once it is told to. */
  public RepeatingProxy(InetSocketAddress target, long delayMillis) throws IOException {
    this.target = target;
    this.delayMillis = delayMillis;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  /** Returns the address on which the proxy listens. */
  public InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  /** Begins to repeat answers. */
  public void repeat() {
    repeating = true;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        Socket server = new Socket(target.getAddress(), target.getPort());
        startThread(() -> forward(client, server));
        startThread(() -> forwardTwice(server, client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void forward(Socket from, Socket to) {
    try (from;
        to) {
      from.getInputStream().transferTo(to.getOutputStream());
    } catch (IOException e) {
      // One side has closed the connection.
      return;
    }
  }

  private void forwardTwice(Socket from, Socket to) {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      byte[] buffer = new byte[65_536];
      for (int bytes = in.read(buffer); bytes > 0; bytes = in.read(buffer)) {
        Thread.sleep(ANSWER_MILLIS);
        while (in.available() > 0 && bytes < buffer.length) {
          bytes += in.read(buffer, bytes, buffer.length - bytes);
        }
        byte[] answer = Arrays.copyOf(buffer, bytes);
        write(to, answer);
        if (repeating) {
          startThread(() -> repeatLater(to, answer));
        }
      }
    } catch (IOException | InterruptedException e) {
      // One side has closed the connection.
      return;
    }
  }

  private void repeatLater(Socket to, byte[] answer) {
    try {
      Thread.sleep(delayMillis);
      write(to, answer);
    } catch (IOException | InterruptedException e) {
      // The connection is closed.
      return;
    }
  }

  private static void write(Socket to, byte[] bytes) throws IOException {
    OutputStream out = to.getOutputStream();
    synchronized (out) {
      out.write(bytes);
      out.flush();
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "repeating-proxy");
    thread.setDaemon(true);
    thread.start();
  }
}
