package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.snipeloom.platform.FakeReplica;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests an instance on the smallest machine of the users whose callers read slowly. */
@Timeout(90)
class SlowCallerTest {
  private static final int SMALLEST_MACHINE_MEGABYTES = 258;

  /** What such an instance may hold of responses, in bytes; an eighth is kept for requests. */
  private static final double BOUND_BYTES = SMALLEST_MACHINE_MEGABYTES * 1_048_576 / 12.0;

  /** More than sockets hold, so that most of it is left to the instance. */
  private static final int LONG_BYTES = 1_000_000;

  /** Shorter than a slow caller reads, so that its response is complete before it is read. */
  private static final int DEADLINE_MILLIS = 3_000;

  private static final int PATIENT_MILLIS = 15_000;
  private static final int SHORT_BYTES = 10_000;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";

  private final List<Socket> sockets = new ArrayList<>();
  private EdgeFixture edge;
  private ImpatientReplica slowlyRead;
  private ImpatientReplica quicklyRead;

  @BeforeEach
  void startInstance() throws Exception {
    edge = EdgeFixture.withMemory(SMALLEST_MACHINE_MEGABYTES);
    slowlyRead = new ImpatientReplica(LONG_BYTES);
    quicklyRead = new ImpatientReplica(SHORT_BYTES);
    edge.register("i-1", "llm", slowlyRead.replica, "ready");
    edge.register("i-2", "app", quicklyRead.replica, "ready");
    configure();
    edge.awaitReady();
  }

  @AfterEach
  void stopInstance() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    edge.close();
    slowlyRead.close();
    quicklyRead.close();
  }

  /** Answers the load of a caller that reads a kilobyte a second. */
  @Test
  void slowCallerReceivesItsWholeStream() throws Exception {
    Socket caller = send("/draft/1", "a1", "key");
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    readSlowly(caller, received, 5);
    received.write(readRest(caller));
    assertThat("cut off by the replica", slowlyRead.cutOff.get(), is(0));
    assertWhole(received.toByteArray());
  }

  /** Answers the load of a caller that reads a kilobyte a second, of a response in one piece. */
  @Test
  void slowCallerReceivesItsWholeBody() throws Exception {
    quicklyRead.close();
    ImpatientReplica large = new ImpatientReplica(LONG_BYTES);
    edge.unregister("i-2");
    edge.register("i-3", "app", large.replica, "ready");
    edge.awaitLog("event=replica replica=i-3 ");
    Socket caller = send("/status/1", "a1", "key");
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    readSlowly(caller, received, 5);
    received.write(readRest(caller));
    assertThat(large.cutOff.get(), is(0));
    assertThat(text(received.toByteArray()), endsWith("a".repeat(LONG_BYTES)));
    large.close();
  }

  /** Answers the load of a hundred slow callers of one customer. */
  @Test
  void othersAreServedWhileHundredCallersOfOneCustomerReadSlowly() throws Exception {
    for (int i = 0; i < 100; i++) {
      send("/draft/" + i, "slow-" + i, "key");
    }
    List<Long> millis = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      long startNanos = System.nanoTime();
      Socket other = send("/status/" + i, "other-" + i, "other-key");
      assertThat(text(readRest(other)), endsWith("a".repeat(SHORT_BYTES)));
      millis.add((System.nanoTime() - startNanos) / 1_000_000);
      assertThat(gauge("held_response_bytes"), lessThanOrEqualTo(BOUND_BYTES));
    }
    millis.sort(Long::compare);
    assertThat("median, target of the route", millis.get(50), lessThan(100L));
    assertThat(
        "largest held, " + edge.counts(), gauge("held_response_bytes"), greaterThan(1_000_000.0));
    Socket otherSlow = send("/draft/other", "other-slow", "other-key");
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    readSlowly(otherSlow, received, 4);
    received.write(readRest(otherSlow));
    assertWhole(received.toByteArray());
    assertThat(gauge("held_response_bytes"), lessThanOrEqualTo(BOUND_BYTES));
    assertThat(
        "logged why a stream is not read on, " + edge.counts(),
        edge.hasLogged(
            line -> line.contains("event=response_stopped id=slow-") && line.contains("CUSTOMER")),
        is(true));
  }

  @Test
  void nothingIsHeldForCallersThatLeft() throws Exception {
    for (int i = 0; i < 10; i++) {
      send("/draft/" + i, "a" + i, "key");
    }
    awaitHeld(bytes -> bytes > LONG_BYTES);
    for (Socket socket : sockets) {
      socket.close();
    }
    awaitHeld(bytes -> bytes == 0);
    assertThat(edge.metrics(), containsString("snipeloom_stopped_responses 0"));
  }

  /** Answers the failure that a stop cuts what a slow caller has not read. */
  @Test
  void shutdownLetsSlowCallersReadTheirWholeResponses() throws Exception {
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      callers.add(send("/draft/" + i, "a" + i, "key"));
    }
    awaitHeld(bytes -> bytes > 2 * LONG_BYTES);
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(edge::stop);
    Thread.sleep(3_200);
    for (Socket caller : callers) {
      assertWhole(readRest(caller));
    }
    stopped.get(10, TimeUnit.SECONDS);
  }

  /** Answers the failure that a replica counts as silent while nothing is read from it. */
  @Test
  void replicaWhoseResponseIsNotReadDoesNotCountAsSilent() throws Exception {
    FakeReplica patient =
        FakeReplica.start(
            (request, socket) -> {
              FakeReplica.write(
                  socket,
                  "HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: "
                      + request.attempt()
                      + "\r\nSnipeloom-Replica-Signature: s\r\nContent-Type: text/event-stream"
                      + "\r\n\r\n"
                      + ImpatientReplica.events(20 * LONG_BYTES));
              return false;
            });
    edge.unregister("i-1");
    edge.register("i-4", "llm", patient, "ready");
    edge.awaitLog("event=replica replica=i-4 ");
    Socket caller = send("/draft/1", "a1", "key", PATIENT_MILLIS);
    Thread.sleep(2_500);
    String received = text(readRest(caller));
    assertThat(patient.requests().size(), is(1));
    assertThat(received, containsString("id: 1000\n"));
    patient.close();
  }

  private void configure() {
    edge.store.put(
        "keyed.op",
        "config",
        """
        {"version":1,"routes":[%s,%s],
         "services":[{"name":"app","maxConnections":96},
          {"name":"llm","engine":{"slots":64,"kvCapacityTokens":400000,"stride":5}}],
         "tenants":[{"name":"customer","apiKeys":["key"]},
          {"name":"other","apiKeys":["other-key"]}]}
        """
            .formatted(
                route("/status/", "idempotent", "app", false),
                route("/draft/", "streaming", "llm", true)));
  }

  private static String route(String prefix, String type, String service, boolean resume) {
    return ("{\"name\":\"r%s\",\"host\":\"h.example\",\"pathPrefix\":\"%s\",\"type\":\"%s\","
            + "\"timeoutMs\":15000,\"targetLatencyMs\":100,\"service\":\"%s\",\"maxAttempts\":2,"
            + "\"streamResume\":%s}")
        .formatted(prefix, prefix, type, service, resume);
  }

  private Socket send(String path, String attempt, String key) throws IOException {
    return send(path, attempt, key, DEADLINE_MILLIS);
  }

  private Socket send(String path, String attempt, String key, int deadlineMillis)
      throws IOException {
    InetSocketAddress address = edge.callers();
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.setSoTimeout(20_000);
    socket.connect(address);
    sockets.add(socket);
    String headers = path.startsWith("/draft/") ? PROMPT_HEADERS : "";
    String request =
        EdgeFixture.request(path, attempt, headers, true)
            .replace("Credential: key", "Credential: " + key)
            .replace("Deadline-Ms: 3000", "Deadline-Ms: " + deadlineMillis);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  /** Reads a kilobyte a second. */
  private static void readSlowly(Socket socket, ByteArrayOutputStream received, int seconds)
      throws IOException, InterruptedException {
    for (int i = 0; i < seconds; i++) {
      received.write(socket.getInputStream().readNBytes(1_024));
      Thread.sleep(1_000);
    }
  }

  private static byte[] readRest(Socket socket) throws IOException {
    return EdgeFixture.readAll(socket.getInputStream()).getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Asserts that a response with chunks holds all events and its end. */
  private static void assertWhole(byte[] received) {
    String text = text(received);
    String last = ImpatientReplica.events(LONG_BYTES);
    String lastId = last.substring(last.lastIndexOf("id: "), last.lastIndexOf("\ndata"));
    assertThat(text.contains(lastId + "\n"), is(true));
    assertThat(text, endsWith("0\r\n\r\n"));
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private void awaitHeld(java.util.function.DoublePredicate expected) throws Exception {
    long deadlineMillis = System.currentTimeMillis() + 5_000;
    while (!expected.test(gauge("held_response_bytes"))) {
      if (System.currentTimeMillis() > deadlineMillis) {
        throw new IllegalStateException("held: " + gauge("held_response_bytes"));
      }
      Thread.sleep(20);
    }
  }

  private double gauge(String name) throws IOException {
    return edge.metrics()
        .lines()
        .filter(line -> line.startsWith("snipeloom_" + name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .findFirst()
        .orElseThrow();
  }
}
