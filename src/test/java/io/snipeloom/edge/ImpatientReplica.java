package io.snipeloom.edge;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica that cuts off a response that remains unread for two seconds. Thread-safe. */
final class ImpatientReplica {
  private static final long UNREAD_LIMIT_MILLIS = 2_000;
  private static final int WRITE_BYTES = 8_192;
  private static final int EVENT_BYTES = 1_000;

  final FakeReplica replica;
  final AtomicInteger cutOff = new AtomicInteger();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  /** Starts a replica whose responses have about the given length. */
  ImpatientReplica(int bytes) throws IOException {
    replica =
        FakeReplica.start(
            (request, socket) -> {
              boolean stream = request.line().contains("/draft/");
              String response =
                  stream ? stream(request.attempt(), bytes) : plain(request.attempt(), bytes);
              return writeUnlessUnread(socket, response);
            });
  }

  private static String plain(String attempt, int bytes) {
    return FakeReplica.completeResponse(attempt, 200, "a".repeat(bytes));
  }

  private static String stream(String attempt, int bytes) {
    String body = events(bytes);
    return "HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: "
        + attempt
        + "\r\nSnipeloom-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns the events of a stream of about the given length. */
  static String events(int bytes) {
    StringBuilder events = new StringBuilder();
    for (int i = 1; events.length() < bytes; i++) {
      events.append("id: ").append(i).append("\ndata: ").append("a".repeat(EVENT_BYTES));
      events.append("\n\n");
    }
    return events.toString();
  }

  private boolean writeUnlessUnread(Socket socket, String response) throws IOException {
    socket.setSendBufferSize(WRITE_BYTES);
    byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
    for (int from = 0; from < bytes.length; from += WRITE_BYTES) {
      ScheduledFuture<?> limit =
          timer.schedule(() -> reset(socket), UNREAD_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
      socket.getOutputStream().write(bytes, from, Math.min(WRITE_BYTES, bytes.length - from));
      limit.cancel(false);
    }
    return true;
  }

  private Void reset(Socket socket) throws IOException {
    cutOff.incrementAndGet();
    socket.setSoLinger(true, 0);
    socket.close();
    return null;
  }

  void close() throws IOException {
    timer.shutdownNow();
    replica.crash();
  }
}
