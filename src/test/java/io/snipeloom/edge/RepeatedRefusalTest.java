package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A replica refuses a request and writes the same refusal once more on the kept connection, where
 * requests that it runs may be sent meanwhile.
 */
@Timeout(60)
class RepeatedRefusalTest {
  private static final String NOT_EXECUTED = "Snipeloom-Not-Executed: 1\r\n";
  private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
  private static final String INTERIM_HEAD = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  private static final String REFUSED_WITH_ID =
      "HTTP/1.1 503 Full\r\nSnipeloom-Attempt-Id: %s\r\n" + NOT_EXECUTED + NO_BODY;

  /** The time in which an instance reads what a replica has written. */
  private static final long READ_MILLIS = 50;

  private final Map<Socket, String> refusals = Collections.synchronizedMap(new IdentityHashMap<>());
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private EdgeFixture edge;

  /** The refusals of a replica, of which some do not name the request. */
  private enum Refusal {
    WITHOUT_ID("HTTP/1.1 503 Full\r\n" + NOT_EXECUTED + NO_BODY),
    WITHOUT_ID_WITH_BODY("HTTP/1.1 503 Full\r\n" + NOT_EXECUTED + "Content-Length: 4\r\n\r\nfull"),
    TOO_MANY("HTTP/1.1 429 Many\r\n" + NOT_EXECUTED + NO_BODY),
    MISDIRECTED("HTTP/1.1 421 Other\r\nSnipeloom-Replica-Id: i-9\r\n" + NO_BODY),
    WITH_ID(REFUSED_WITH_ID),
    AFTER_INTERIM_HEAD(INTERIM_HEAD + REFUSED_WITH_ID);

    private final String text;

    Refusal(String text) {
      this.text = text;
    }

    String of(FakeReplica.Request request) {
      return text.formatted(request.attempt());
    }
  }

  /** When a replica writes a refusal once more. */
  private enum Moment {
    BEFORE_NEXT_REQUEST,
    BEFORE_ANSWER,
    AFTER_ANSWER
  }

  /** A kind of request, with an answer that ends in the same text for each kind. */
  private enum Kind {
    PLAIN("/vote/1", "app", "", "", "sealed"),
    STREAMED(
        "/draft/1",
        "llm",
        "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n",
        "Content-Type: text/event-stream\r\n",
        "id: 1\ndata: sealed\n\n");

    private final String path;
    private final String service;
    private final String requestHeaders;
    private final String answerHeaders;
    private final String answer;

    Kind(String path, String service, String requestHeaders, String answerHeaders, String answer) {
      this.path = path;
      this.service = service;
      this.requestHeaders = requestHeaders;
      this.answerHeaders = answerHeaders;
      this.answer = answer;
    }

    String answerTo(FakeReplica.Request request, boolean closes) {
      String headers = answerHeaders + (closes ? "Connection: close\r\n" : "");
      return FakeReplica.completeResponse(request.attempt(), 200, answer)
          .replace("Content-Length", headers + "Content-Length");
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

  static Stream<Arguments> copies() {
    List<Arguments> copies = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (Refusal refusal : Refusal.values()) {
        for (Moment moment : Moment.values()) {
          copies.add(Arguments.of(kind, refusal, moment));
        }
      }
    }
    return copies.stream();
  }

  /** Guards against taking the copy for the refusal of another request, which runs. */
  @ParameterizedTest
  @MethodSource("copies")
  void requestThatRunsIsNotRefusedByTheCopyOfAnEarlierRefusal(
      Kind kind, Refusal refusal, Moment moment) throws Exception {
    start(kind, (request, socket) -> refuseThenRun(kind, refusal, moment, 1, request, socket));
    for (int i = 0; i < 6; i++) {
      assertThatRunsOnce(kind, "a" + i);
    }
  }

  /** Guards against the copy that has the ID of the request, which is sent there once more. */
  @Test
  void requestThatIsSentToTheSameReplicaAgainIsNotRefusedByTheCopy() throws Exception {
    start(
        Kind.PLAIN,
        (request, socket) ->
            refuseThenRun(Kind.PLAIN, Refusal.WITH_ID, Moment.BEFORE_ANSWER, 2, request, socket));
    assertThatRunsOnce(Kind.PLAIN, "a1");
  }

  private void assertThatRunsOnce(Kind kind, String attempt) throws IOException {
    String response = edge.send(kind.path, attempt, kind.requestHeaders);
    assertThat(response + edge.log, Collections.frequency(runs, attempt), is(1));
    assertThat(response, containsString("sealed"));
  }

  /**
   * Refuses the first requests. On a connection with a refusal, the replica writes that again; it
   * announces that it closes the others, so that the ones with a refusal are used.
   */
  private boolean refuseThenRun(
      Kind kind,
      Refusal refusal,
      Moment moment,
      int count,
      FakeReplica.Request request,
      Socket socket)
      throws IOException, InterruptedException {
    boolean hasRefused = refusals.containsKey(socket);
    if (!hasRefused && refusals.size() < count) {
      refusals.put(socket, refusal.of(request));
      FakeReplica.write(socket, refusal.of(request));
      repeatRefusal(socket, moment == Moment.BEFORE_NEXT_REQUEST);
      return true;
    }
    repeatRefusal(socket, hasRefused && moment == Moment.BEFORE_ANSWER);
    runs.add(request.attempt());
    FakeReplica.write(socket, kind.answerTo(request, !hasRefused));
    repeatRefusal(socket, hasRefused && moment == Moment.AFTER_ANSWER);
    return hasRefused;
  }

  private void repeatRefusal(Socket socket, boolean due) throws IOException, InterruptedException {
    if (due) {
      Thread.sleep(READ_MILLIS);
      FakeReplica.write(socket, refusals.get(socket));
      Thread.sleep(READ_MILLIS);
    }
  }

  private void start(Kind kind, FakeReplica.Script script) throws Exception {
    edge.configureWithoutTotal(1);
    edge.register("i-1", kind.service, FakeReplica.start(script), "ready");
    edge.awaitReady();
  }
}
