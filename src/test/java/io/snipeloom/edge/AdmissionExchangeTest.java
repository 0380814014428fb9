package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that requests which cannot be served in their time are refused and not run. */
@Timeout(60)
class AdmissionExchangeTest {
  private static final int OBSERVED_STREAMS = 20;
  private static final long FIRST_EVENT_MILLIS = 300;
  private static final int SHORT_MILLIS = 100;
  private static final int EVENTS = 12;
  private static final String PROMPT =
      "Snipeloom-Token-Counts: 4000,100\r\nSnipeloom-Prompt-Prefix: d0c:3000,%s:1000\r\n";

  private EdgeFixture edge;
  private FakeReplica engine;
  private volatile boolean statesPace = true;

  @BeforeEach
  void startInstance() throws Exception {
    edge = new EdgeFixture();
    engine = FakeReplica.start(this::respond);
    edge.register("e-1", "llm", engine, "ready");
    edge.configure(1, 10_000_000);
    edge.awaitReady();
  }

  @AfterEach
  void stopInstance() throws IOException {
    edge.close();
    engine.close();
  }

  /** Guards against work for callers who will have gone before the first event. */
  @Test
  void requestThatCannotBeServedInItsTimeIsRefusedAndNotRun() throws Exception {
    observeStreams();
    String response = sendWithTimeLimit("late", SHORT_MILLIS, "");
    assertThat(response, startsWith("HTTP/1.1 429"));
    assertThat(response.toLowerCase(Locale.ROOT), containsString("retry-after"));
    assertThat("seen by the replica", isSeenByReplica("late"), is(false));
    edge.awaitLog("event=admission id=late outcome=too_late");
  }

  /** A caller that already holds a part of a stream is not refused midway. */
  @Test
  void resumedStreamIsSentAlthoughItsTimeIsShort() throws Exception {
    observeStreams();
    sendWithTimeLimit("goes-on", SHORT_MILLIS, "Last-Event-Id: 2\r\n");
    assertThat("seen by the replica", isSeenByReplica("goes-on"), is(true));
  }

  /** An instance that has just started knows too little to refuse anybody. */
  @Test
  void newInstanceRefusesNothing() throws Exception {
    sendWithTimeLimit("first", 1_000, "");
    assertThat("seen by the replica", isSeenByReplica("first"), is(true));
  }

  /**
   * Guards services whose replicas do not state their pace: they are served as without admission.
   */
  @Test
  void nothingIsRefusedWhereReplicasDoNotStateTheirPace() throws Exception {
    statesPace = false;
    observeStreams();
    sendWithTimeLimit("short", SHORT_MILLIS, "");
    assertThat("seen by the replica", isSeenByReplica("short"), is(true));
  }

  private void observeStreams() throws IOException {
    for (int i = 0; i < OBSERVED_STREAMS; i++) {
      String response = edge.send("/draft/1", "s" + i, PROMPT.formatted(i));
      assertThat(response, startsWith("HTTP/1.1 200"));
    }
  }

  private String sendWithTimeLimit(String attempt, int millis, String headers) throws IOException {
    String request =
        EdgeFixture.request("/draft/1", attempt, PROMPT.formatted("fe") + headers, true)
            .replace("Deadline-Ms: 3000", "Deadline-Ms: " + millis);
    try (Socket socket = edge.open()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return EdgeFixture.readAll(socket.getInputStream());
    }
  }

  private boolean isSeenByReplica(String attempt) {
    return engine.requests().stream().anyMatch(request -> attempt.equals(request.attempt()));
  }

  private boolean respond(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    Thread.sleep(FIRST_EVENT_MILLIS);
    FakeReplica.write(
        socket,
        "HTTP/1.1 200 X\r\nSnipeloom-Attempt-Id: %s\r\nSnipeloom-Replica-Signature: s\r\n"
                .formatted(request.attempt())
            + (statesPace ? "Snipeloom-Replica-Load: 1,0,64,100\r\n" : "")
            + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    for (int id = 1; id <= EVENTS; id++) {
      FakeReplica.write(socket, "id: %d\ndata: x\n\n".formatted(id));
      Thread.sleep(5);
    }
    return false;
  }
}
