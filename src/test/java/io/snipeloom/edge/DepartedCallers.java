package io.snipeloom.edge;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Callers that send one request each, of whom some leave before it is answered, and the replica
 * that tells which requests reach it after their callers left.
 */
final class DepartedCallers implements AutoCloseable {
  /** How long after its caller left a request may still reach a replica. */
  private static final long MAX_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The callers that stay, one of so many. */
  private static final int STAYING_SHARE = 4;

  private final List<Socket> sockets = new ArrayList<>();
  private final Map<String, Long> departures = new ConcurrentHashMap<>();
  private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
  private final Leaving leaving;

  /** How a caller leaves. */
  enum Leaving {
    CLOSE,
    RESET;

    void leave(Socket socket) throws IOException {
      if (this == RESET) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }
  }

  /** Opens a connection. */
  interface Connector {
    Socket open() throws IOException;
  }

  DepartedCallers(Leaving leaving) {
    this.leaving = leaving;
  }

  /** Answers a request at once, and records when it came. */
  boolean respond(FakeReplica.Request request, Socket socket) throws IOException {
    arrivals.put(request.attempt(), System.nanoTime());
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "read"));
    return true;
  }

  /** Opens the connections of callers that have not sent anything yet. */
  void open(int count, Connector connector) throws IOException {
    for (int i = 0; i < count; i++) {
      sockets.add(connector.open());
    }
  }

  /** Sends the requests of all callers. */
  void sendAll(String path, String headers) throws IOException {
    for (int i = 0; i < sockets.size(); i++) {
      FakeReplica.write(sockets.get(i), EdgeFixture.request(path + i, attempt(i), headers, true));
    }
  }

  /** Lets three in four callers leave. */
  void leave() throws IOException {
    for (int i = 0; i < sockets.size(); i++) {
      if (!stays(i)) {
        leaving.leave(sockets.get(i));
        departures.put(attempt(i), System.nanoTime());
      }
    }
  }

  /** Returns the responses to the callers that stayed. */
  List<String> awaitResponses() throws IOException {
    List<String> responses = new ArrayList<>();
    for (int i = 0; i < sockets.size(); i++) {
      if (stays(i)) {
        responses.add(EdgeFixture.readAll(sockets.get(i).getInputStream()));
      }
    }
    return responses;
  }

  /** Returns the requests that reached the replica too late after their callers had left. */
  List<String> sentOnTooLate() {
    return departures.entrySet().stream()
        .filter(left -> isTooLate(left.getKey(), left.getValue()))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  private boolean isTooLate(String attempt, long leftNanos) {
    Long arrivedNanos = arrivals.get(attempt);
    return arrivedNanos != null && arrivedNanos - leftNanos > MAX_LATE_NANOS;
  }

  private static boolean stays(int caller) {
    return caller % STAYING_SHARE == 0;
  }

  private static String attempt(int caller) {
    return "a" + caller;
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
