package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests an instance on the smallest machine of the users whose replicas read slowly. */
@Timeout(90)
class SlowReplicaTest {
  private static final int SMALLEST_MACHINE_MEGABYTES = 258;

  /** What such an instance may hold of request bodies, in bytes. */
  private static final double BOUND_BYTES = SMALLEST_MACHINE_MEGABYTES * 1_048_576 / 24.0;

  private static final int LARGEST_BYTES = 4_194_304;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final CountDownLatch reading = new CountDownLatch(1);
  private final List<Socket> connections = new ArrayList<>();
  private ServerSocket slow;
  private EdgeFixture edge;

  @BeforeEach
  void startInstance() throws Exception {
    slow = new ServerSocket();
    slow.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    slow.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
    callers.execute(this::accept);
    edge = EdgeFixture.withMemory(SMALLEST_MACHINE_MEGABYTES);
    register("i-slow", "app", slow.getLocalPort());
    edge.configure(1, 10_000_000);
    edge.awaitReady();
  }

  @AfterEach
  void stopInstance() throws IOException {
    edge.close();
    slow.close();
    for (Socket connection : connections) {
      connection.close();
    }
    callers.shutdownNow();
  }

  /** Answers the load of bodies of 4 MB and of 100 kB that a replica does not take. */
  @Test
  void bodiesThatCannotBeHeldAreRefusedAtOnceAndSmallOnesAreServed() throws Exception {
    FakeReplica other = respondingReplica();
    edge.register("e-1", "llm", other, "ready");
    edge.awaitLog("event=replica replica=e-1 ");
    List<CompletableFuture<Answer>> answers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      answers.add(post("/vote/" + i, "large-" + i, LARGEST_BYTES));
    }
    for (int i = 0; i < 60; i++) {
      answers.add(post("/vote/m" + i, "middle-" + i, 100_000));
    }
    for (int i = 0; i < 20; i++) {
      Answer small = post("/draft/" + i, "small-" + i, 1_000).get(10, TimeUnit.SECONDS);
      assertThat(small.text(), startsWith("HTTP/1.1 200"));
      assertThat(gauge("held_request_bytes"), lessThanOrEqualTo(BOUND_BYTES));
    }
    List<Answer> refused = new ArrayList<>();
    for (CompletableFuture<Answer> answer : answers) {
      Answer ended = answer.get(20, TimeUnit.SECONDS);
      if (ended.text().startsWith("HTTP/1.1 429") || ended.text().startsWith("HTTP/1.1 503")) {
        refused.add(ended);
      } else {
        assertThat(ended.text(), anyOf(startsWith("HTTP/1.1 504"), startsWith("HTTP/1.1 502")));
      }
    }
    assertThat("refused", refused.size(), greaterThan(30));
    for (Answer one : refused) {
      assertThat(one.text().toLowerCase(Locale.ROOT), containsString("retry-after: "));
      assertThat("milliseconds of " + one.text(), one.millis(), lessThan(1_000L));
    }
    awaitGauge("held_request_bytes");
    awaitGauge("unwritten_body_bytes");
    awaitGauge("replica_body_bytes_most");
  }

  /** Answers the load of a replica that takes a long body slowly, and then serves it. */
  @Test
  void longBodyReachesReplicaThatReadsSlowlyAtFirst() throws Exception {
    final CompletableFuture<Answer> answer = post("/vote/1", "a1", LARGEST_BYTES);
    Thread.sleep(1_000);
    assertThat(gauge("unwritten_body_bytes"), greaterThan(1_000_000.0));
    reading.countDown();
    assertThat(answer.get(10, TimeUnit.SECONDS).text(), startsWith("HTTP/1.1 200"));
    awaitGauge("held_request_bytes");
  }

  /** Answers the failure that one replica that reads slowly takes the requests of all. */
  @Test
  void otherReplicasTakeTheBodiesThatSlowOneDoesNotTake() throws Exception {
    FakeReplica quick = respondingReplica();
    edge.register("i-quick", "app", quick, "ready");
    edge.awaitLog("event=replica replica=i-quick ");
    for (int i = 0; i < 60; i++) {
      CompletableFuture<Answer> unused = post("/vote/" + i, "a" + i, 100_000);
      Thread.sleep(10);
      double unwritten = gauge("unwritten_body_bytes");
      assertThat(unwritten, lessThanOrEqualTo(BOUND_BYTES / 2 + 100_000));
      assertThat(unused.isCompletedExceptionally(), is(false));
    }
    assertThat(quick.requests().size(), greaterThan(0));
  }

  /** A caller that sends a body without a length may be refused while it sends. */
  @Test
  void bodyOfUnknownLengthIsBoundedToo() throws Exception {
    List<CompletableFuture<Answer>> answers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      answers.add(postChunked("/vote/" + i, "a" + i, 3_000_000));
    }
    for (CompletableFuture<Answer> answer : answers) {
      assertThat(answer.get(20, TimeUnit.SECONDS).text(), not(is("")));
      assertThat(gauge("held_request_bytes"), lessThanOrEqualTo(BOUND_BYTES));
    }
    assertThat(edge.hasLogged(line -> line.contains("event=request_not_held")), is(true));
    awaitGauge("held_request_bytes");
  }

  /**
   * What a caller received.
   *
   * @param millis the time until the first byte
   */
  private record Answer(String text, long millis) {}

  private static FakeReplica respondingReplica() throws IOException {
    return FakeReplica.start(
        (request, socket) -> {
          FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
          return true;
        });
  }

  /** Accepts connections and reads nothing until told to, then responds to one request each. */
  private void accept() {
    while (!slow.isClosed()) {
      try {
        Socket socket = slow.accept();
        connections.add(socket);
        callers.execute(() -> respondLate(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void respondLate(Socket socket) {
    try {
      reading.await();
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) in.read());
      }
      String text = head.toString();
      in.skipNBytes(Long.parseLong(header(text, "content-length")));
      FakeReplica.write(
          socket, FakeReplica.completeResponse(header(text, "snipeloom-attempt-id"), 200, "ok"));
    } catch (IOException | InterruptedException e) {
      // The instance closed the connection, or the test has ended.
      Thread.currentThread().interrupt();
    }
  }

  private static String header(String head, String name) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(line.indexOf(':') + 1).trim())
        .findFirst()
        .orElseThrow();
  }

  private CompletableFuture<Answer> post(String path, String attempt, int bytes) {
    String head =
        EdgeFixture.request(path, attempt, "", true)
            .replace("Content-Length: 4\r\n\r\nbody", "Content-Length: " + bytes + "\r\n\r\n");
    return send(head + "b".repeat(bytes));
  }

  private CompletableFuture<Answer> postChunked(String path, String attempt, int bytes) {
    String head =
        EdgeFixture.request(path, attempt, "", true)
            .replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n");
    String chunk = "2710\r\n" + "b".repeat(10_000) + "\r\n";
    return send(head + chunk.repeat(bytes / 10_000) + "0\r\n\r\n");
  }

  private CompletableFuture<Answer> send(String request) {
    return CompletableFuture.supplyAsync(
        () -> {
          long startNanos = System.nanoTime();
          try (Socket socket = edge.open()) {
            CompletableFuture<Void> written =
                CompletableFuture.runAsync(() -> write(socket, request), callers);
            int first = socket.getInputStream().read();
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            String rest = EdgeFixture.readAll(socket.getInputStream());
            written.join();
            return new Answer(first < 0 ? "" : (char) first + rest, millis);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        },
        callers);
  }

  private static void write(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      throw new IllegalStateException("the instance did not take the request", e);
    }
  }

  private void register(String id, String service, int port) {
    edge.store.put(
        "keyed.servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"slots\":6,"
                + "\"version\":\"v1\",\"state\":\"ready\",\"born\":1}")
            .formatted(service, port));
  }

  private void awaitGauge(String name) throws Exception {
    long deadlineMillis = System.currentTimeMillis() + 5_000;
    while (gauge(name) > 0) {
      if (System.currentTimeMillis() > deadlineMillis) {
        throw new IllegalStateException(name + ": " + gauge(name));
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
