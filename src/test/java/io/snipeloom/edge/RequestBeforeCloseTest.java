package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.transport.BusyReading;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests requests that have arrived in time and lie unread when a time limit of their connection is
 * looked at, since the event loop was busy.
 */
@Timeout(60)
class RequestBeforeCloseTest {
  private static final String END_OF_HEADER = "\r\n\r\n";
  private static final long IDLE_MILLIS = 1_500;
  private static final long HEADER_MILLIS = 1_200;

  /** The time limit of a body, which no configuration changes. */
  private static final long BODY_MILLIS = 10_000;

  /** How long before the end of a limit the event loop begins to be busy, and how long after. */
  private static final long MARGIN_MILLIS = 500;

  private EdgeFixture edge;
  private FakeReplica replica;
  private BusyReading reading;

  @BeforeEach
  void startInstance() throws Exception {
    edge = new EdgeFixture();
    reading = edge.busyReading();
    replica = FakeReplica.start(RequestBeforeCloseTest::answer);
    edge.configureWithLimits(1, HEADER_MILLIS, IDLE_MILLIS);
    edge.register("i-1", "app", replica, "ready");
    edge.awaitReady();
  }

  @AfterEach
  void stopInstance() throws IOException {
    reading.close();
    edge.close();
    replica.close();
  }

  /** Guards against a close of a kept connection on which a request has arrived. */
  @Test
  void requestThatArrivesBeforeTheIdleLimitIsAnswered() throws Exception {
    try (Socket caller = edge.open()) {
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS - MARGIN_MILLIS);
      reading.begin(2 * MARGIN_MILLIS);
      FakeReplica.write(caller, request());
      assertAnswered(caller);
    }
  }

  /** Guards against a 408 for a header that has arrived within its time. */
  @Test
  void headerThatArrivesInTimeIsAnswered() throws Exception {
    String request = request();
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, request.substring(0, 20));
      TimeUnit.MILLISECONDS.sleep(HEADER_MILLIS - MARGIN_MILLIS);
      reading.begin(2 * MARGIN_MILLIS);
      FakeReplica.write(caller, request.substring(20));
      assertAnswered(caller);
    }
  }

  /** Guards against a 408 for a body that has arrived within its time. */
  @Test
  void bodyThatArrivesInTimeIsAnswered() throws Exception {
    String request = request();
    int bodyAt = request.indexOf(END_OF_HEADER) + END_OF_HEADER.length();
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, request.substring(0, bodyAt + 1));
      TimeUnit.MILLISECONDS.sleep(BODY_MILLIS - MARGIN_MILLIS);
      reading.begin(2 * MARGIN_MILLIS);
      FakeReplica.write(caller, request.substring(bodyAt + 1));
      assertAnswered(caller);
    }
  }

  /** Guards against connections that stay open because what may have arrived is read first. */
  @Test
  void connectionOnWhichNothingArrivesIsClosedAndCounted() throws Exception {
    try (Socket caller = edge.open()) {
      assertThat(EdgeFixture.readAll(caller.getInputStream()), is(""));
    }
    assertThat(edge.metrics(), containsString("snipeloom_closed_idle_total 1"));
  }

  private void assertAnswered(Socket caller) throws IOException {
    String answer = EdgeFixture.readAll(caller.getInputStream());
    assertThat(answer, startsWith("HTTP/1.1 200"));
    assertThat(answer, endsWith("done"));
    assertThat(edge.metrics(), containsString("snipeloom_request_read_before_close_total 1"));
  }

  private static String request() {
    return EdgeFixture.request("/vote/1", "vote", "", true)
        .replace("Deadline-Ms: 3000", "Deadline-Ms: 15000");
  }

  private static boolean answer(FakeReplica.Request request, Socket socket) throws IOException {
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "done"));
    return true;
  }
}
