package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that an instance heeds what replicas say in their answers about further requests. */
@Timeout(60)
class ReplicaWillingnessTest {
  private static final int REQUESTS = 30;

  private final List<FakeReplica> replicas = new ArrayList<>();
  private EdgeFixture edge;

  @BeforeEach
  void startEdge() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopEdge() throws IOException {
    edge.close();
    for (FakeReplica replica : replicas) {
      replica.close();
    }
  }

  /** Guards against requests that reach a replica long after its answer said that it leaves. */
  @Test
  void replicaThatSaysItLeavesGetsNoMoreRequestsWhateverItsEntrySays() throws Exception {
    final FakeReplica leaving = startReplica("i-1", 200, "Server-Leaving: 1");
    startReplica("i-2", 200, "X: y");
    configure();
    sendAll("a", REQUESTS);
    edge.register("i-1", "app", leaving, "ready");
    sendAll("b", REQUESTS);
    assertThat("requests to the leaving replica", leaving.requests().size(), is(1));
    edge.awaitLog("event=replica_leaving id=a");
  }

  /** Guards against a mark that outlives the replica that said it. */
  @Test
  void nextIncarnationOfReplicaThatLeftGetsRequests() throws Exception {
    final FakeReplica leaving = startReplica("i-1", 200, "Server-Leaving: 1");
    configure();
    sendAll("a", 1);
    FakeReplica next = startReplica("i-1", 200, "X: y");
    edge.awaitLog("address=/127.0.0.1:" + next.port());
    sendAll("b", 3);
    assertThat(leaving.requests().size(), is(1));
    assertThat(next.requests().size(), is(3));
  }

  /** Guards against requests to a replica that has said how long it wants none. */
  @Test
  void replicaThatRejectsWithRetryAfterIsLeftAloneForThatTime() throws Exception {
    final FakeReplica busy =
        startReplica("i-1", 503, "Snipeloom-Not-Executed: 1\r\nRetry-After: 30");
    startReplica("i-2", 200, "X: y");
    configure();
    sendAll("a", REQUESTS);
    assertThat("requests to the busy replica", busy.requests().size(), lessThanOrEqualTo(1));
    edge.awaitLog("event=replica_pauses id=a");
  }

  /** Guards against requests that are held, or sent all the same, when no replica wants them. */
  @Test
  void requestIsRefusedAtOnceWhenAllReplicasPause() throws Exception {
    final FakeReplica busy =
        startReplica("i-1", 503, "Snipeloom-Not-Executed: 1\r\nRetry-After: 0.6");
    configure();
    edge.send("/status/1", "a1", "");
    String refused = edge.send("/status/1", "a2", "");
    assertThat(
        refused,
        allOf(
            startsWith("HTTP/1.1 503"),
            containsString("retry-after: 0."),
            containsString("want no requests for some time")));
    assertThat(busy.requests().size(), is(1));
    Thread.sleep(700);
    edge.send("/status/1", "a3", "");
    assertThat("requests after the pause", busy.requests().size(), is(2));
  }

  private void sendAll(String prefix, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      String response = edge.send("/status/1", prefix + i, "");
      assertThat(response, startsWith("HTTP/1.1 200"));
    }
  }

  private void configure() throws Exception {
    edge.configure(1, 1_000_000);
    edge.awaitReady();
  }

  private FakeReplica startReplica(String id, int status, String header) throws IOException {
    FakeReplica replica =
        FakeReplica.start((request, socket) -> respond(request, socket, status, header));
    replicas.add(replica);
    edge.register(id, "app", replica, "ready");
    return replica;
  }

  private static boolean respond(
      FakeReplica.Request request, Socket socket, int status, String header) throws IOException {
    String response = FakeReplica.completeResponse(request.attempt(), status, "ok");
    FakeReplica.write(socket, response.replaceFirst("\r\n", "\r\n" + header + "\r\n"));
    return true;
  }
}
