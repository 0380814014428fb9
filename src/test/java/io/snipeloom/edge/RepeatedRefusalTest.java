package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A replica refuses a request and writes the same refusal once more on the kept connection, where a
 * request that it runs may be sent meanwhile.
 */
@Timeout(60)
class RepeatedRefusalTest {
  private static final String NOT_EXECUTED = "Snipeloom-Not-Executed: 1\r\n";
  private static final String NO_BODY = "Content-Length: 0\r\n\r\n";

  private final Map<Socket, String> refusals = Collections.synchronizedMap(new IdentityHashMap<>());
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private EdgeFixture edge;

  /** The refusals of a replica, of which some do not name the request. */
  private enum Refusal {
    WITHOUT_ID("HTTP/1.1 503 Full\r\n" + NOT_EXECUTED + NO_BODY),
    WITHOUT_ID_WITH_BODY("HTTP/1.1 503 Full\r\n" + NOT_EXECUTED + "Content-Length: 4\r\n\r\nfull"),
    TOO_MANY("HTTP/1.1 429 Many\r\n" + NOT_EXECUTED + NO_BODY),
    MISDIRECTED("HTTP/1.1 421 Other\r\nSnipeloom-Replica-Id: i-9\r\n" + NO_BODY),
    WITH_ID("HTTP/1.1 503 Full\r\nSnipeloom-Attempt-Id: %s\r\n" + NOT_EXECUTED + NO_BODY);

    private final String text;

    Refusal(String text) {
      this.text = text;
    }

    String of(FakeReplica.Request request) {
      return text.formatted(request.attempt());
    }
  }

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  /** Guards against taking the copy for the refusal of the next request, which runs. */
  @ParameterizedTest
  @EnumSource(Refusal.class)
  void requestThatRunsIsNotRefusedByTheCopyOfAnEarlierRefusal(Refusal refusal) throws Exception {
    start("i-1", (request, socket) -> refuseThenRun(refusal, 1, request, socket));
    edge.awaitReady();
    for (int i = 0; i < 6; i++) {
      assertThatRunsOnce("a" + i);
    }
  }

  /** Guards against the copy that has the ID of the request, which is sent there once more. */
  @Test
  void requestThatIsSentToTheSameReplicaAgainIsNotRefusedByTheCopy() throws Exception {
    start("i-1", (request, socket) -> refuseThenRun(Refusal.WITH_ID, 2, request, socket));
    edge.awaitReady();
    assertThatRunsOnce("a1");
  }

  private void assertThatRunsOnce(String attempt) throws IOException {
    String response = edge.send("/vote/1", attempt, "");
    assertThat(Collections.frequency(runs, attempt), is(1));
    assertThat(response, endsWith("sealed"));
  }

  /**
   * Refuses the first requests. On a connection with a refusal, the replica writes that again
   * before it runs the next request; it closes the others, so that those are used.
   */
  private boolean refuseThenRun(
      Refusal refusal, int count, FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    boolean hasRefused = refusals.containsKey(socket);
    if (!hasRefused && refusals.size() < count) {
      refusals.put(socket, refusal.of(request));
      FakeReplica.write(socket, refusal.of(request));
      return true;
    }
    if (hasRefused) {
      FakeReplica.write(socket, refusals.get(socket));
      Thread.sleep(50);
    }
    runs.add(request.attempt());
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "sealed"));
    return hasRefused;
  }

  private void start(String id, FakeReplica.Script script) throws IOException {
    edge.configureWithoutTotal(1);
    edge.register(id, "app", FakeReplica.start(script), "ready");
  }
}
