package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A stream breaks off, and the next replica answers with an error or with other bytes. */
@Timeout(60)
class ResumedStreamErrorTest {
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
  private static final String BEGUN = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final String ERROR_TEXT = "internal-error-text";
  private static final String SIGNED = "Snipeloom-Replica-Signature: s\r\n";
  private static final String STREAM = "Content-Type: text/event-stream\r\n";

  /** Longer than a busy machine keeps the first replica from beginning its stream. */
  private static final int PATIENT_MILLIS = 15_000;

  private static final Answer CUT_OFF =
      new Answer(200, SIGNED + STREAM, BodyFraming.CONNECTION_CLOSE, BEGUN + "id: 3\nda");

  private EdgeFixture edge;
  private int sends;

  /** What the second replica sends. */
  private record Answer(int status, String headers, BodyFraming framing, String body) {
    String encode(String attempt) {
      String head = "HTTP/1.1 " + status + " X\r\nSnipeloom-Attempt-Id: " + attempt + "\r\n";
      return head + headers + framing.encode(body);
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

  static Stream<Answer> errors() {
    List<Answer> errors = new ArrayList<>();
    for (BodyFraming framing : BodyFraming.values()) {
      for (int status : new int[] {201, 206, 400, 404, 408, 410, 429, 500, 503}) {
        errors.add(new Answer(status, SIGNED + STREAM, framing, ERROR_TEXT));
        errors.add(
            new Answer(status, SIGNED + STREAM, framing, "id: 3\ndata: " + ERROR_TEXT + "\n\n"));
        errors.add(new Answer(status, SIGNED, framing, ERROR_TEXT));
      }
      errors.add(new Answer(200, SIGNED, framing, ERROR_TEXT));
      errors.add(new Answer(200, SIGNED + STREAM, framing, ERROR_TEXT));
      errors.add(new Answer(200, SIGNED + STREAM, framing, "data: " + ERROR_TEXT + "\n\n"));
      errors.add(
          new Answer(200, SIGNED + STREAM, framing, "event: error\ndata: " + ERROR_TEXT + "\n\n"));
      errors.add(new Answer(200, SIGNED + STREAM, framing, "id: 2\ndata: " + ERROR_TEXT + "\n\n"));
      errors.add(
          new Answer(
              200,
              SIGNED + STREAM,
              framing,
              "HTTP/1.1 503 X\r\nContent-Length: 19\r\n\r\n" + ERROR_TEXT));
    }
    return errors.stream();
  }

  /** Guards against the text or the head of an error in the middle of a stream. */
  @ParameterizedTest
  @MethodSource("errors")
  void callerGetsOnlyItsEventsAndSeesThatTheStreamIsNotComplete(Answer error) throws Exception {
    String response = streamThatGoesOnWith(error, error);
    assertThat(
        edge.log.toString(StandardCharsets.UTF_8),
        response,
        allOf(startsWith("HTTP/1.1 200"), containsString("id: 2\ndata: b")));
    assertThat(response, not(containsString(ERROR_TEXT)));
    assertThat(response, not(containsString("503 X")));
    assertThat(response, not(endsWith(BodyFraming.END_OF_CHUNKS)));
  }

  static Stream<Answer> errorsWithinStreams() {
    return Stream.of(
        new Answer(
            200, SIGNED + STREAM, BodyFraming.CONNECTION_CLOSE, afterEvents("HTTP/1.1 503 X")),
        new Answer(200, SIGNED + STREAM, BodyFraming.CHUNKED, afterEvents("event: error")),
        new Answer(200, SIGNED + STREAM, BodyFraming.LENGTH, BEGUN + ERROR_TEXT));
  }

  private static String afterEvents(String line) {
    return BEGUN + line + "\r\ndata: " + ERROR_TEXT + "\r\n\r\n";
  }

  /** Guards against an error that a replica writes into its own stream. */
  @ParameterizedTest
  @MethodSource("errorsWithinStreams")
  void streamGoesOnElsewhereAfterErrorWithinIt(Answer begun) throws Exception {
    Answer rest = new Answer(200, SIGNED + STREAM, BodyFraming.CHUNKED, "id: 3\ndata: c\n\n");
    String response = streamThatGoesOnWith(begun, rest);
    assertThat(response, not(containsString(ERROR_TEXT)));
    assertThat(
        response, allOf(containsString("id: 3\ndata: c"), endsWith(BodyFraming.END_OF_CHUNKS)));
  }

  /** Guards against the same where the caller resumes its stream at another instance. */
  @Test
  void callerThatResumesAtAnotherInstanceGetsNoErrorAsTheRestOfItsStream() throws Exception {
    AtomicReference<Answer> rest = new AtomicReference<>();
    start((request, socket) -> beginOrGoOn(request, socket, rest.get()));
    try (EdgeFixture second = new EdgeFixture("edge-2", edge.store)) {
      second.awaitReady();
      for (Answer error : errors().toList()) {
        rest.set(error);
        String attempt = "a" + ++sends;
        assertThat(
            edge.send("/draft/" + sends, attempt, PROMPT_HEADERS),
            containsString("id: 2\ndata: b"));
        String position = "Last-Event-Id: 2\r\nResumes: " + attempt + "\r\n";
        String response =
            second.send("/draft/" + sends, attempt + "-again", PROMPT_HEADERS + position);
        if (response.startsWith("HTTP/1.1 2")) {
          assertThat(error.toString(), response, not(containsString(ERROR_TEXT)));
          assertThat(error.toString(), response, not(endsWith(BodyFraming.END_OF_CHUNKS)));
        }
      }
    }
  }

  /** Begins a stream and breaks it off; goes on only if its caller resumes it. */
  private static boolean beginOrGoOn(FakeReplica.Request request, Socket socket, Answer rest)
      throws IOException {
    if (request.headers().containsKey("Resumes")) {
      FakeReplica.write(socket, rest.encode(request.attempt()));
    } else if (!request.headers().containsKey("Last-Event-Id")) {
      FakeReplica.write(socket, CUT_OFF.encode(request.attempt()));
    }
    return false;
  }

  /** Sends a request whose stream begins with two events and breaks off. */
  private String streamThatGoesOnWith(Answer first, Answer second) throws Exception {
    start((request, socket) -> respond(request, socket, first, second));
    String request =
        EdgeFixture.request("/draft/1", "a1", PROMPT_HEADERS, true)
            .replace("Deadline-Ms: 3000", "Deadline-Ms: " + PATIENT_MILLIS);
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, request);
      return EdgeFixture.readAll(caller.getInputStream());
    }
  }

  private void start(FakeReplica.Script script) throws Exception {
    edge.configureWithoutTotal(1);
    edge.register("i-1", "llm", FakeReplica.start(script), "ready");
    edge.register("i-2", "llm", FakeReplica.start(script), "ready");
    edge.awaitReady();
  }

  private synchronized boolean respond(
      FakeReplica.Request request, Socket socket, Answer first, Answer second) throws IOException {
    sends++;
    boolean begins = sends == 1;
    boolean beginsItself = first.body().startsWith(BEGUN);
    Answer answer = begins ? (beginsItself ? first : CUT_OFF) : second;
    FakeReplica.write(socket, answer.encode(request.attempt()));
    return false;
  }
}
