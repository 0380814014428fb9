package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that an instance heeds what replicas say in their answers about further requests. */
@Timeout(60)
class ReplicaWillingnessTest {
  private static final int REQUESTS = 30;
  private static final Pattern RETRY_AFTER = Pattern.compile("retry-after: ([0-9.]+)");

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

  /** Guards against a pause that is forgotten because the entry was away for a moment. */
  @Test
  void pauseOutlivesAnEntryThatGoesAndComesBack() throws Exception {
    final FakeReplica busy =
        startReplica("i-1", 503, "Snipeloom-Not-Executed: 1\r\nRetry-After: 30");
    configure();
    edge.send("/status/1", "a1", "");
    reregister("i-1", busy);
    sendRefused("b", 3);
    assertThat("requests to the busy replica", busy.requests().size(), is(1));
  }

  /** Guards against new requests to a leaving replica whose entry was away for a moment. */
  @Test
  void replicaThatLeavesGetsNoRequestsAfterItsEntryComesBack() throws Exception {
    final FakeReplica leaving = startReplica("i-1", 200, "Server-Leaving: 1");
    configure();
    sendAll("a", 1);
    reregister("i-1", leaving);
    sendRefused("b", 3);
    assertThat("requests to the leaving replica", leaving.requests().size(), is(1));
  }

  /** Guards against a rejection that is not read because the time of the request was over. */
  @Test
  void pauseIsReadThatComesRightAfterTheDeadline() throws Exception {
    final FakeReplica busy =
        startReplica(
            "i-1",
            (request, socket) -> {
              Thread.sleep(340);
              return respond(request, socket, 503, "Snipeloom-Not-Executed: 1\r\nRetry-After: 30");
            });
    configure();
    edge.send("/vote/1", "a1", "Snipeloom-Deadline-Ms: 300\r\n");
    Thread.sleep(200);
    sendRefused("b", 3);
    assertThat("requests to the busy replica", busy.requests().size(), is(1));
  }

  /** Guards against a rejection that is not read because it names no attempt. */
  @Test
  void pauseIsReadFromAnAnswerThatNamesNoAttempt() throws Exception {
    final FakeReplica busy =
        startReplica(
            "i-1",
            (request, socket) -> {
              String answer = FakeReplica.completeResponse("", 503, "ok");
              FakeReplica.write(
                  socket, answer.replace("Snipeloom-Attempt-Id: ", "Retry-After: 30"));
              return true;
            });
    configure();
    edge.send("/status/1", "a1", "Snipeloom-Deadline-Ms: 300\r\n");
    sendRefused("b", 3);
    assertThat("requests to the busy replica", busy.requests().size(), is(1));
  }

  /** Guards against callers that all come back in the moment in which the pause ends. */
  @Test
  void timesToComeBackAreSpreadWhenAllReplicasPause() throws Exception {
    startReplica("i-1", 503, "Snipeloom-Not-Executed: 1\r\nRetry-After: 0.7");
    configure();
    edge.send("/vote/1", "a", "");
    List<Double> returns = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String refused = edge.send("/vote/1", "b" + i, "");
      Matcher matcher = RETRY_AFTER.matcher(refused);
      assertThat(matcher.find(), is(true));
      returns.add(System.nanoTime() / 1e9 + Double.parseDouble(matcher.group(1)));
    }
    double range = Collections.max(returns) - Collections.min(returns);
    assertThat("seconds between the first and the last", range, greaterThan(0.1));
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

  private void sendRefused(String prefix, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      assertThat(edge.send("/status/1", prefix + i, ""), startsWith("HTTP/1.1 503"));
    }
  }

  private void reregister(String id, FakeReplica replica) throws Exception {
    edge.unregister(id);
    edge.awaitLog("event=replica_entry_removed replica=" + id);
    edge.register(id, "app", replica, "ready");
    Thread.sleep(300);
  }

  private void configure() throws Exception {
    edge.configure(1, 1_000_000);
    edge.awaitReady();
  }

  private FakeReplica startReplica(String id, int status, String header) throws IOException {
    return startReplica(id, (request, socket) -> respond(request, socket, status, header));
  }

  private FakeReplica startReplica(String id, FakeReplica.Script script) throws IOException {
    FakeReplica replica = FakeReplica.start(script);
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
