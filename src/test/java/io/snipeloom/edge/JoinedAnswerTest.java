package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A replica sends more than one answer on a connection, of which one has no end of its own. */
@Timeout(60)
class JoinedAnswerTest {
  private static final long READ_MILLIS = 50;
  private static final String PROMPT =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
  private static final String NAMES = "Snipeloom-Replica-Signature: s\r\nSnipeloom-Attempt-Id: ";

  private EdgeFixture edge;

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  private FakeReplica start(String path, FakeReplica.Script script) throws Exception {
    edge.configureWithoutTotal(1);
    FakeReplica replica = FakeReplica.start(script);
    edge.register("i-1", path.startsWith("/draft") ? "llm" : "app", replica, "ready");
    edge.awaitReady();
    return replica;
  }

  /** Guards against a success whose body ends with a second answer. */
  @ParameterizedTest
  @ValueSource(strings = {"a1", "a2"})
  void bodyToTheCloseDoesNotHoldSecondAnswer(String second) throws Exception {
    start(
        "/vote/1",
        (request, socket) -> {
          String id = request.attempt();
          if (id.equals("a1")) {
            FakeReplica.write(socket, FakeReplica.completeResponse(id, 500, "late"));
            return true;
          }
          FakeReplica.write(socket, "HTTP/1.1 200 OK\r\n" + NAMES + id + "\r\n\r\nown");
          Thread.sleep(READ_MILLIS);
          FakeReplica.write(socket, FakeReplica.completeResponse(second, 500, "late"));
          return false;
        });
    edge.send("/vote/1", "a1", "");
    String answer = edge.send("/vote/1", "a2", "");
    assertThat(answer, not(containsString("late")));
  }

  /** Guards against a success whose body is joined from an answer and its repetition. */
  @Test
  void bodyIsNotJoinedFromAnswerThatBreaksOffAndItsRepetition() throws Exception {
    start(
        "/vote/1",
        (request, socket) -> {
          String whole = FakeReplica.completeResponse(request.attempt(), 200, "body ".repeat(40));
          FakeReplica.write(socket, whole.substring(0, whole.length() - 100));
          Thread.sleep(READ_MILLIS);
          FakeReplica.write(socket, whole);
          return true;
        });
    String answer = edge.send("/vote/1", "a2", "");
    assertThat(answer, not(containsString("body HTTP/1.1 200")));
  }

  /** Guards against a stream to the close that goes on with a second answer. */
  @Test
  void streamToTheCloseDoesNotHoldSecondAnswer() throws Exception {
    start(
        "/draft/1",
        (request, socket) -> {
          String whole =
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  + NAMES
                  + request.attempt()
                  + "\r\n\r\nid: 1\ndata: x\n\n";
          FakeReplica.write(socket, whole);
          Thread.sleep(READ_MILLIS);
          FakeReplica.write(socket, whole);
          return false;
        });
    String answer = edge.send("/draft/1", "a2", PROMPT);
    assertThat(answer.indexOf("HTTP/1.1", 1), is(-1));
  }

  /** Guards against a refusal that names no request and ends one that its replica runs. */
  @Test
  void unnamedRefusalBehindOtherAnswersIsNotOfThisRequest() throws Exception {
    String path = "/vote/1";
    AtomicInteger runs = new AtomicInteger();
    start(
        path,
        (request, socket) -> {
          if (request.attempt().equals("a1")) {
            FakeReplica.write(socket, FakeReplica.completeResponse("a1", 200, "own"));
            return true;
          }
          if (runs.incrementAndGet() == 1) {
            FakeReplica.write(
                socket, "HTTP/1.1 503 X\r\nSnipeloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            Thread.sleep(READ_MILLIS);
          }
          FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "own"));
          return true;
        });
    edge.send(path, "a1", PROMPT);
    String answer = edge.send(path, "a2", PROMPT);
    assertThat(answer.lines().findFirst() + " runs", runs.get(), is(1));
  }

  /** Guards against an event that is joined from a stream that breaks off and a second answer. */
  @ParameterizedTest
  @ValueSource(strings = {"", "Content-Length: 400\r\n"})
  void eventIsNotJoinedFromTwoAnswers(String length) throws Exception {
    start(
        "/draft/1",
        (request, socket) -> {
          String whole =
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  + length
                  + NAMES
                  + request.attempt()
                  + "\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: yes";
          FakeReplica.write(socket, whole);
          Thread.sleep(READ_MILLIS);
          FakeReplica.write(socket, whole + "\n\n");
          return false;
        });
    String answer = edge.send("/draft/1", "a2", PROMPT);
    assertThat(answer.indexOf("yesHTTP/1.1"), is(-1));
  }
}
