package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that a replica counts as ended under a request however it ended. One replica runs at a
 * time; after three have ended, the request must not reach a fourth.
 */
@Timeout(60)
class CrashDetectionTest {
  private static final int CRASHES = 3;
  private static final String PATH = "/status/crash";

  /** Longer than an instance waits for a silent replica before it tries another. */
  private static final long SILENT_MILLIS = 2_000;

  private static final String STREAM_PATH = "/draft/crash";

  private final List<FakeReplica> replicas = new ArrayList<>();
  private EdgeFixture edge;
  private int attempts;

  /** What a replica does with a request before it ends. */
  private interface Behavior {
    void run(FakeReplica.Request request, Socket socket, String id)
        throws IOException, InterruptedException;
  }

  @BeforeEach
  void startEdge() throws Exception {
    edge = new EdgeFixture();
    edge.configure(1, 1_000_000);
  }

  @AfterEach
  void stopEdge() throws IOException {
    edge.close();
    for (FakeReplica replica : replicas) {
      replica.close();
    }
  }

  @Test
  void replicaThatEndsWhileItRunsTheRequestCounts() throws Exception {
    for (int i = 1; i <= CRASHES; i++) {
      startReplica("app", i, (request, socket, id) -> Thread.sleep(20));
      send(PATH);
    }
    assertRefused("app", PATH);
  }

  /** Guards against a crash that is missed because the entry of the replica has just gone. */
  @Test
  void replicaWhoseEntryHasGoneCounts() throws Exception {
    for (int i = 1; i <= CRASHES; i++) {
      startReplica(
          "app",
          i,
          (request, socket, id) -> {
            edge.unregister(id);
            edge.awaitLog("event=replica_entry_removed replica=" + id);
          });
      send(PATH);
    }
    assertRefused("app", PATH);
  }

  /** Guards against a crash that is missed because the stream had gone on for a while. */
  @Test
  void replicaThatEndsLateInStreamCounts() throws Exception {
    for (int i = 1; i <= CRASHES; i++) {
      startReplica("llm", i, (request, socket, id) -> writeSlowStream(request, socket));
      send(STREAM_PATH);
    }
    assertRefused("llm", STREAM_PATH);
  }

  /** Guards against a crash that is missed because the caller has just left. */
  @Test
  void replicaThatEndsAfterTheCallerLeftCounts() throws Exception {
    for (int i = 1; i <= CRASHES; i++) {
      startReplica("app", i, (request, socket, id) -> Thread.sleep(300));
      CompletableFuture<String> other = CompletableFuture.supplyAsync(() -> send("/vote/other"));
      Thread.sleep(100);
      leaveEarly();
      other.join();
    }
    assertRefused("app", PATH);
  }

  /**
   * Guards against a crash that is missed because an earlier, silent attempt had the replica looked
   * at just before it.
   */
  @Test
  void replicaThatEndsWhileItIsLookedAtCounts() throws Exception {
    for (int i = 1; i < CRASHES; i++) {
      startReplica("app", i, FakeReplica.start(endAtSecondAttempt()));
      send(PATH);
      edge.awaitLog("replica=i-" + i + "@1 crashes=" + i);
    }
    startReplica("app", CRASHES, (request, socket, id) -> Thread.sleep(20));
    send(PATH);
    assertRefused("app", PATH);
  }

  /** Returns a script that never answers; the second attempt ends the replica. */
  private FakeReplica.Script endAtSecondAttempt() {
    AtomicInteger runs = new AtomicInteger();
    return (request, socket) -> {
      if (runs.incrementAndGet() == 1) {
        Thread.sleep(SILENT_MILLIS);
      } else {
        replicas.get(replicas.size() - 1).close();
      }
      return false;
    };
  }

  private void leaveEarly() throws Exception {
    try (Socket socket = edge.open()) {
      String request = EdgeFixture.request(PATH, "left" + ++attempts, "", true);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      Thread.sleep(50);
    }
  }

  private static void writeSlowStream(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    FakeReplica.write(
        socket,
        "HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: "
            + request.attempt()
            + "\r\nSnipeloom-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n"
            + chunk("id: 1\ndata: a\n\n"));
    Thread.sleep(400);
    FakeReplica.write(socket, chunk("id: 2\ndata: b\n\n"));
    Thread.sleep(50);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private void startReplica(String service, int number, Behavior behavior) throws Exception {
    String id = "i-" + number;
    FakeReplica[] self = new FakeReplica[1];
    self[0] =
        FakeReplica.start(
            (request, socket) -> {
              behavior.run(request, socket, id);
              self[0].crash();
              return false;
            });
    startReplica(service, number, self[0]);
  }

  private void startReplica(String service, int number, FakeReplica replica) throws Exception {
    String id = "i-" + number;
    replicas.add(replica);
    if (number > 1) {
      edge.unregister("i-" + (number - 1));
    }
    edge.register(id, service, replica, "ready");
    edge.awaitLog("event=replica replica=" + id + " ");
    edge.awaitReady();
  }

  /** Asserts that a fourth replica, which is sound, does not get the request. */
  private void assertRefused(String service, String path) throws Exception {
    FakeReplica sound =
        FakeReplica.start(
            (request, socket) -> {
              FakeReplica.write(
                  socket, FakeReplica.completeResponse(request.attempt(), 200, "done"));
              return true;
            });
    replicas.add(sound);
    edge.register("i-sound", service, sound, "ready");
    edge.awaitLog("event=replica replica=i-sound ");
    String response = send(path);
    assertThat(edge.linesWith("event="), response, startsWith("HTTP/1.1 503"));
    assertThat(sound.requests(), is(empty()));
  }

  private String send(String path) {
    try {
      return edge.send(path, "a" + ++attempts, "");
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
