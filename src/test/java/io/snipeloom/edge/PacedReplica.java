package io.snipeloom.edge;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Sound replicas that work as long as the path of a request says, and know how long they did.
 *
 * <p>Streams have an event every {@link #EVENT_MILLIS}. Thread-safe.
 */
final class PacedReplica {
  /** The data of the last event of each stream. */
  static final String LAST_EVENT_DATA = "end";

  private static final int EVENT_MILLIS = 100;

  private final Map<String, Long> begunNanos = new ConcurrentHashMap<>();
  private final Map<String, Long> endedNanos = new ConcurrentHashMap<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Returns whether some replica has received the request. */
  boolean hasRun(String attempt) {
    return begunNanos.containsKey(attempt);
  }

  /** Returns how often a request has run. */
  int runs(String attempt) {
    return runs.getOrDefault(attempt, 0);
  }

  /** Returns whether a replica still worked on the request at some time. */
  boolean isAtWork(String attempt, long nanos) {
    Long begun = begunNanos.get(attempt);
    Long ended = endedNanos.get(attempt);
    return begun != null && begun - nanos <= 0 && (ended == null || ended - nanos >= 0);
  }

  /** Responds to a request, as a script of a {@link FakeReplica}. */
  boolean respond(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    String attempt = request.attempt();
    begunNanos.putIfAbsent(attempt, System.nanoTime());
    runs.merge(attempt, 1, Integer::sum);
    String path = request.line().substring("POST ".length(), request.line().lastIndexOf(" "));
    long workMillis = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    try {
      if (path.startsWith("/draft/") || path.startsWith("/once/")) {
        stream(request, socket, workMillis);
      } else {
        TimeUnit.MILLISECONDS.sleep(workMillis);
        FakeReplica.write(socket, FakeReplica.completeResponse(attempt, 200, "done"));
      }
    } finally {
      endedNanos.put(attempt, System.nanoTime());
    }
    return true;
  }

  private static void stream(FakeReplica.Request request, Socket socket, long workMillis)
      throws IOException, InterruptedException {
    FakeReplica.write(
        socket,
        "HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: "
            + request.attempt()
            + "\r\nSnipeloom-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    int number = Integer.parseInt(request.headers().getOrDefault("Last-Event-Id", "0"));
    long begun = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos((long) number * EVENT_MILLIS);
    do {
      number++;
      FakeReplica.write(socket, event(number, "x"));
      TimeUnit.MILLISECONDS.sleep(EVENT_MILLIS);
    } while (System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(workMillis));
    FakeReplica.write(socket, event(number + 1, LAST_EVENT_DATA) + "0\r\n\r\n");
  }

  private static String event(int number, String data) {
    String text = "id: " + number + "\ndata: " + data + "\n\n";
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}
