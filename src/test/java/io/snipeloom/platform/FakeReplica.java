package io.snipeloom.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A fake replica that responds with the bytes that a test's script writes to the socket.
 *
 * <p>Thread-safe.
 */
public final class FakeReplica implements AutoCloseable {
  private final ServerSocket listener;
  private final Script script;
  private final Thread acceptor = new Thread(this::accept, "replica-acceptor");
  private final CopyOnWriteArrayList<Request> requests = new CopyOnWriteArrayList<>();
  private final CopyOnWriteArrayList<Socket> connections = new CopyOnWriteArrayList<>();

  /** A received request. */
  public record Request(String line, Map<String, String> headers, String body) {
    /** Returns the attempt ID in the headers of the request. */
    public String attempt() {
      return headers.get("Snipeloom-Attempt-Id");
    }
  }

  /** Responds to the requests of a connection. */
  public interface Script {
    /** Writes a response; returns whether the connection stays open. */
    boolean respond(Request request, Socket socket) throws IOException, InterruptedException;
  }

  private FakeReplica(ServerSocket listener, Script script) {
    this.listener = listener;
    this.script = script;
  }

  /** Starts a replica on a free port of the loopback interface. */
  public static FakeReplica start(Script script) throws IOException {
    ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    FakeReplica replica = new FakeReplica(listener, script);
    replica.acceptor.setDaemon(true);
    replica.acceptor.start();
    return replica;
  }

  /** Returns the port on which the replica listens. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Returns the requests received so far. */
  public java.util.List<Request> requests() {
    return requests;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  /**
   * Ends the replica as a crash does: the listener and all connections are closed. The kernel
   * accepts connections until the thread that waits for them has ended.
   */
  public void crash() throws IOException {
    listener.close();
    join(acceptor);
    for (Socket connection : connections) {
      connection.close();
    }
  }

  /** Returns a complete response with the headers that a replica sets. */
  public static String completeResponse(String attempt, int status, String body) {
    return "HTTP/1.1 %d X\r\nSnipeloom-Attempt-Id: %s\r\nSnipeloom-Replica-Signature: s\r\n"
            .formatted(status, attempt)
        + "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body);
  }

  /** Writes text in ISO 8859-1 and flushes it. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        connections.add(socket);
        startDaemonThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Request request = read(in);
        if (request == null) {
          return;
        }
        requests.add(request);
        if (!script.respond(request, socket)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The instance closed the connection, or the script was interrupted.
      return;
    }
  }

  private static Request read(InputStream in) throws IOException {
    String line = line(in);
    if (line.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    return new Request(
        line, headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void startDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "replica");
    thread.setDaemon(true);
    thread.start();
  }
}
