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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests how a real instance judges whether the response of a replica is complete. */
@Timeout(60)
class ResponseEndTest {
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
  private static final String PART_OF_EVENT = "id: 2\ndata: b";

  private EdgeFixture edge;

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  /** Guards against a stream that its replica broke off inside an event and that looks complete. */
  @ParameterizedTest
  @EnumSource(BodyFraming.class)
  void streamThatEndsInsideEventNeverLooksComplete(BodyFraming framing) throws Exception {
    startReplica(
        "e-1", (request, socket) -> respond(framing, request, socket, FIRST_EVENT + PART_OF_EVENT));
    String response = edge.send("/draft/1", "a1", PROMPT_HEADERS);
    assertThat(response, allOf(startsWith("HTTP/1.1 200"), containsString(FIRST_EVENT)));
    assertThat(response, not(containsString(PART_OF_EVENT)));
    assertThat(response, not(endsWith(BodyFraming.END_OF_CHUNKS)));
    edge.awaitLog("outcome=broken_off");
  }

  /** Guards against a stream that is not resumed because the close looked like its end. */
  @ParameterizedTest
  @EnumSource(BodyFraming.class)
  void streamThatEndsInsideEventResumesAtAnotherReplica(BodyFraming framing) throws Exception {
    FakeReplica.Script script =
        (request, socket) -> {
          boolean resumed = request.headers().containsKey("Last-Event-Id");
          return respond(
              framing, request, socket, resumed ? SECOND_EVENT : FIRST_EVENT + PART_OF_EVENT);
        };
    startReplica("e-1", script);
    startReplica("e-2", script);
    String response = edge.send("/draft/1", "a1", PROMPT_HEADERS);
    assertThat(
        response.replaceAll("\r\n[0-9a-f]+\r\n", ""), containsString(FIRST_EVENT + SECOND_EVENT));
    assertThat(response, endsWith(BodyFraming.END_OF_CHUNKS));
  }

  /**
   * Guards against a replica that closes before its first event and an empty stream that looks
   * complete.
   */
  @Test
  void streamWithoutLengthAndWithoutEventsIsNotComplete() throws Exception {
    startReplica(
        "e-1", (request, socket) -> respond(BodyFraming.CONNECTION_CLOSE, request, socket, ""));
    assertThat(edge.send("/draft/1", "a1", PROMPT_HEADERS), startsWith("HTTP/1.1 502"));
  }

  @ParameterizedTest
  @EnumSource(BodyFraming.class)
  void streamThatEndsAfterEventIsComplete(BodyFraming framing) throws Exception {
    startReplica(
        "e-1", (request, socket) -> respond(framing, request, socket, FIRST_EVENT + SECOND_EVENT));
    String response = edge.send("/draft/1", "a1", PROMPT_HEADERS);
    assertThat(
        response.replaceAll("\r\n[0-9a-f]+\r\n", ""), containsString(FIRST_EVENT + SECOND_EVENT));
    assertThat(response, endsWith(BodyFraming.END_OF_CHUNKS));
    edge.awaitLog("outcome=served");
  }

  /** Sends a body as a whole and closes the connection. */
  private static boolean respond(
      BodyFraming framing, FakeReplica.Request request, Socket socket, String body)
      throws IOException {
    FakeReplica.write(
        socket,
        "HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: "
            + request.attempt()
            + "\r\nSnipeloom-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"
            + framing.encode(body));
    return false;
  }

  private void startReplica(String id, FakeReplica.Script script) throws Exception {
    edge.register(id, "llm", FakeReplica.start(script), "ready");
    edge.configureWithoutTotal(1);
    edge.awaitReady();
  }
}
