package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that callers find the next answer on their connection right behind one that has no body.
 */
@Timeout(60)
class BodylessAnswerTest {
  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";

  private EdgeFixture edge;
  private FakeReplica replica;

  @BeforeEach
  void startInstance() throws Exception {
    edge = new EdgeFixture();
    replica = FakeReplica.start(BodylessAnswerTest::respond);
    edge.register("i-1", "app", replica, "ready");
    edge.configure(1, 1_000_000);
    edge.awaitReady();
  }

  @AfterEach
  void stopInstance() throws IOException {
    edge.close();
    replica.close();
  }

  /** Guards against a body behind the head that answers HEAD, which is read as the next answer. */
  @ParameterizedTest
  @CsvSource({"/status/1, 200", "/absent/1, 404"})
  void answerToHeadHasNoBody(String path, int status) throws Exception {
    try (Socket caller = edge.open()) {
      caller.setSoTimeout(READ_TIMEOUT_MILLIS);
      FakeReplica.write(caller, request("HEAD", path, "h1") + request("GET", "/status/1", "g1"));
      assertThat(head(caller), startsWith("HTTP/1.1 " + status));
      assertNextIs(caller, "g1");
    }
  }

  /** Guards against the body of the refusal of a stream that cannot have an event. */
  @Test
  void answerToHeadOfStreamIsFollowedByTheNextAnswer() throws Exception {
    edge.register("e-1", "llm", replica, "ready");
    edge.awaitTokens();
    try (Socket caller = edge.open()) {
      caller.setSoTimeout(READ_TIMEOUT_MILLIS);
      String stream = EdgeFixture.request("/draft/1", "h1", PROMPT_HEADERS, false);
      FakeReplica.write(
          caller, stream.replaceFirst("POST", "HEAD") + request("GET", "/status/1", "g1"));
      head(caller);
      assertNextIs(caller, "g1");
    }
  }

  /** Guards against a status without a body, of which a copy or a length is read as one. */
  @ParameterizedTest
  @CsvSource({"204", "304"})
  void statusWithoutBodyIsFollowedByTheNextAnswer(int status) throws Exception {
    try (Socket caller = edge.open()) {
      caller.setSoTimeout(READ_TIMEOUT_MILLIS);
      FakeReplica.write(
          caller, request("GET", "/status/" + status, "n1") + request("GET", "/status/1", "g1"));
      assertThat(head(caller), startsWith("HTTP/1.1 " + status));
      assertNextIs(caller, "g1");
    }
  }

  /** Guards against an interim answer that counts as the answer to the request behind it. */
  @Test
  void interimAnswerIsFollowedByTheAnswerAndTheNextOne() throws Exception {
    try (Socket caller = edge.open()) {
      caller.setSoTimeout(READ_TIMEOUT_MILLIS);
      String posted = EdgeFixture.request("/status/1", "p1", "Expect: 100-continue\r\n", false);
      int headLength = posted.length() - "body".length();
      FakeReplica.write(caller, posted.substring(0, headLength));
      assertThat(head(caller), startsWith("HTTP/1.1 100"));
      FakeReplica.write(caller, "body" + request("HEAD", "/status/1", "h1"));
      assertNextIs(caller, "p1");
      assertThat(head(caller), startsWith("HTTP/1.1 200"));
      FakeReplica.write(caller, request("GET", "/status/1", "g1"));
      assertNextIs(caller, "g1");
    }
  }

  private static void assertNextIs(Socket caller, String attempt) throws IOException {
    String head = head(caller);
    assertThat(head, startsWith("HTTP/1.1 200"));
    assertThat(head.contains("Snipeloom-Attempt-Id: " + attempt), is(true));
    byte[] body = caller.getInputStream().readNBytes(2);
    assertThat(new String(body, StandardCharsets.ISO_8859_1), is("ok"));
  }

  private static String request(String method, String path, String attempt) {
    return EdgeFixture.request(path, attempt, "", false).replaceFirst("POST", method);
  }

  /** Reads a head to its empty line. */
  private static String head(Socket caller) throws IOException {
    InputStream in = caller.getInputStream();
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      head.write(next);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  private static boolean respond(FakeReplica.Request request, Socket socket) throws IOException {
    String whole = FakeReplica.completeResponse(request.attempt(), 200, "ok");
    if (request.line().startsWith("HEAD /draft/")) {
      FakeReplica.write(
          socket,
          "HTTP/1.1 200 X\r\nSnipeloom-Attempt-Id: %s\r\nSnipeloom-Replica-Signature: s\r\n"
                  .formatted(request.attempt())
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    } else if (request.line().startsWith("HEAD")) {
      FakeReplica.write(socket, whole.substring(0, whole.length() - 2));
    } else if (request.line().contains("/status/1 ")) {
      FakeReplica.write(socket, whole);
    } else {
      int status = Integer.parseInt(request.line().replaceAll(".*/status/(\\d+) .*", "$1"));
      String empty = FakeReplica.completeResponse(request.attempt(), status, "");
      FakeReplica.write(socket, empty.replace("Content-Length: 0\r\n", ""));
    }
    return true;
  }
}
