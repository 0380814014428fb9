package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.snipeloom.platform.FakeReplica;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests one or two real instances over sockets, as callers, replicas and operators see them. The
 * store and the replicas are fakes.
 */
@Timeout(60)
class EdgeDaemonTest {
  /** Headers of a prompt of 1,000 input tokens and at most 100 output tokens. */
  private static final String PROMPT_HEADERS =
      "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";

  /** Longer than an instance takes to stop. */
  private static final int LONG_DEADLINE_MILLIS = 15_000;

  private EdgeFixture edge;

  @BeforeEach
  void startInstance() throws IOException {
    edge = new EdgeFixture();
  }

  @AfterEach
  void stopInstance() {
    edge.close();
  }

  @Test
  void replicaResponseReachesCallerUnchanged() throws Exception {
    final FakeReplica replica = startAppReplica("i-1", respondWith("sealed"));
    configureAndAwaitReady();
    String response = edge.send("/vote/1?x=%41", "a1", "");
    assertThat(response, allOf(startsWith("HTTP/1.1 200"), endsWith("\r\n\r\nsealed")));
    assertThat(response, containsString("Snipeloom-Replica-Signature: s"));
    FakeReplica.Request received = replica.requests().get(0);
    assertThat(received.line(), is("POST /vote/1?x=%41 HTTP/1.1"));
    assertThat(received.body(), is("body"));
    assertThat(received.headers().get("Snipeloom-Tenant"), is("customer"));
    assertThat(received.headers().containsKey("Snipeloom-Credential"), is(false));
  }

  @Test
  void requestBeforeFirstConfigurationGets503() throws Exception {
    String response = edge.send("/vote/1", "a1", "");
    assertThat(response, allOf(startsWith("HTTP/1.1 503"), containsString("retry-after: 0.4")));
  }

  @Test
  void unknownApiKeyGets401AndUnknownRouteGets404() throws Exception {
    startAppReplica("i-1", respondWith("x"));
    configureAndAwaitReady();
    String request = EdgeFixture.request("/vote/1", "a1", "", true).replace("key", "other");
    try (Socket socket = edge.open()) {
      FakeReplica.write(socket, request);
      assertThat(EdgeFixture.readAll(socket.getInputStream()), startsWith("HTTP/1.1 401"));
    }
    assertThat(edge.send("/none/1", "a2", ""), startsWith("HTTP/1.1 404"));
  }

  @Test
  void nonIdempotentRequestIsNotRetriedAfterLostResponse() throws Exception {
    final FakeReplica replica = startAppReplica("i-1", (request, socket) -> false);
    startAppReplica("i-2", (request, socket) -> false);
    configureAndAwaitReady();
    String response = edge.send("/vote/1", "a1", "");
    assertThat(response, startsWith("HTTP/1.1 502"));
    assertThat(response, not(containsString("retry-after")));
    assertThat(replica.requests().size() <= 1, is(true));
  }

  @Test
  void nonIdempotentRequestRefusedByOneReplicaIsRetriedOnAnother() throws Exception {
    FakeReplica.Script refuseAsFull =
        (request, socket) -> {
          FakeReplica.write(
              socket,
              "HTTP/1.1 503 Full\r\nSnipeloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
          return true;
        };
    final FakeReplica first = startAppReplica("i-1", refuseAsFull);
    startAppReplica("i-2", respondWith("sealed"));
    configureAndAwaitReady();
    for (int i = 0; i < 4; i++) {
      assertThat(edge.send("/vote/1", "a" + i, ""), endsWith("sealed"));
    }
    assertThat(first.requests().isEmpty(), is(false));
  }

  @Test
  void idempotentRequestThatFailsIsRetriedOnAnotherReplica() throws Exception {
    startAppReplica(
        "i-1",
        (request, socket) -> {
          FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 500, "no"));
          return true;
        });
    startAppReplica("i-2", respondWith("read"));
    configureAndAwaitReady();
    for (int i = 0; i < 4; i++) {
      assertThat(edge.send("/status/1", "a" + i, ""), endsWith("read"));
    }
  }

  /** Guards against a replica that sends a second response on a keep-alive connection. */
  @Test
  void unsolicitedResponseOnKeepAliveConnectionIsDiscarded() throws Exception {
    AtomicInteger count = new AtomicInteger();
    startAppReplica(
        "i-1",
        (request, socket) -> {
          String response =
              FakeReplica.completeResponse(request.attempt(), 200, "for " + request.attempt());
          FakeReplica.write(socket, response);
          if (count.incrementAndGet() % 2 == 1) {
            Thread.sleep(30);
            FakeReplica.write(socket, response);
          }
          return true;
        });
    configureAndAwaitReady();
    for (int i = 0; i < 12; i++) {
      assertThat(edge.send("/vote/1", "a" + i, ""), endsWith("for a" + i));
    }
  }

  /**
   * Guards against a connection on which the response to an earlier request arrives in place of the
   * response to the current one.
   */
  @Test
  void responseWithForeignAttemptIdIsDiscarded() throws Exception {
    startAppReplica(
        "i-1",
        (request, socket) -> {
          FakeReplica.write(socket, FakeReplica.completeResponse("other", 200, "another's"));
          FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "own"));
          return true;
        });
    configureAndAwaitReady();
    assertThat(edge.send("/vote/1", "a1", ""), endsWith("own"));
    assertThat(edge.send("/vote/1", "a2", ""), endsWith("own"));
  }

  @Test
  void truncatedResponseGets502() throws Exception {
    startAppReplica(
        "i-1",
        (request, socket) -> {
          String complete = FakeReplica.completeResponse(request.attempt(), 200, "a long answer");
          FakeReplica.write(socket, complete.substring(0, complete.length() - 3));
          return false;
        });
    configureAndAwaitReady();
    assertThat(edge.send("/vote/1", "a1", ""), startsWith("HTTP/1.1 502"));
  }

  @Test
  void responseWithoutLengthIsCompleteOnlyAfterOrderlyClose() throws Exception {
    String head =
        "HTTP/1.1 200 OK\r\nSnipeloom-Replica-Signature: s\r\nSnipeloom-Attempt-Id: %s\r\n\r\n";
    startAppReplica(
        "i-1",
        (request, socket) -> {
          FakeReplica.write(socket, head.formatted(request.attempt()) + "unframed");
          if (request.attempt().startsWith("reset")) {
            Thread.sleep(50);
            socket.setSoLinger(true, 0);
          }
          return false;
        });
    configureAndAwaitReady();
    assertThat(edge.send("/vote/1", "a1", ""), endsWith("unframed"));
    assertThat(edge.send("/vote/1", "reset-1", ""), startsWith("HTTP/1.1 502"));
  }

  @Test
  void brokenStreamResumesAfterLastCompleteEvent() throws Exception {
    FakeReplica.Script script =
        (request, socket) -> {
          String last = request.headers().get("Last-Event-Id");
          boolean first = last == null;
          FakeReplica.write(socket, streamHead(request, first ? "one" : "two"));
          if (first) {
            FakeReplica.write(socket, chunk("id: 1\ndata: a\n\nid: 2\nda"));
            Thread.sleep(50);
            return false;
          }
          assertThat(last, is("1"));
          FakeReplica.write(socket, chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
          FakeReplica.write(socket, "0\r\n\r\n");
          return true;
        };
    startEngineReplica("e-1", script);
    startEngineReplica("e-2", script);
    configureAndAwaitReady();
    String response = edge.send("/draft/1", "a1", PROMPT_HEADERS);
    assertThat(response, containsString("Snipeloom-Replica-Signature: one"));
    assertThat(response, not(containsString("two")));
    assertThat(
        response.replaceAll("\r\n[0-9a-f]+\r\n", ""),
        containsString("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
    assertThat(response, endsWith("0\r\n\r\n"));
  }

  @Test
  void replicaConnectionIsClosedWhenCallerDisconnects() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    startEngineReplica(
        "e-1",
        (request, socket) -> {
          started.countDown();
          long startNanos = System.nanoTime();
          int end = socket.getInputStream().read();
          closed.complete(end < 0 && System.nanoTime() - startNanos < 5_000_000_000L);
          return false;
        });
    configureAndAwaitReady();
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, EdgeFixture.request("/draft/1", "a1", PROMPT_HEADERS, false));
      started.await();
    }
    assertThat(closed.get(10, TimeUnit.SECONDS), is(true));
  }

  @Test
  void spendNeverExceedsPrepaidTokens() throws Exception {
    startEngineReplica("e-1", streamEvents(20));
    edge.configure(1, 5_000);
    edge.awaitReady();
    int served = 0;
    for (int i = 0; i < 8; i++) {
      served += edge.send("/draft/1", "a" + i, PROMPT_HEADERS).startsWith("HTTP/1.1 200") ? 1 : 0;
    }
    assertThat("requests of 1,100 tokens served from 5,000 prepaid tokens", served, is(4));
    assertThat(edge.send("/draft/1", "b", PROMPT_HEADERS), startsWith("HTTP/1.1 402"));
    edge.configure(2, 6_200);
    edge.awaitLog("version=2 applied=true");
    assertThat(edge.send("/draft/1", "c", PROMPT_HEADERS), startsWith("HTTP/1.1 200"));
  }

  @Test
  void requestGets503WhileTokensCannotBeClaimed() throws Exception {
    startEngineReplica("e-1", streamEvents(1));
    edge.configure(1, 5_000);
    edge.awaitReady();
    edge.store.setDown(true);
    edge.awaitLog("store_lost");
    String response = edge.send("/draft/1", "a1", PROMPT_HEADERS);
    assertThat(response, allOf(startsWith("HTTP/1.1 503"), containsString("retry-after")));
    edge.store.setDown(false);
    edge.awaitLog("store_regained");
    assertThat(edge.send("/draft/1", "a2", PROMPT_HEADERS), startsWith("HTTP/1.1 200"));
  }

  @Test
  void instanceCutOffFromStoreBorrowsTokensFromAnotherInstance() throws Exception {
    startEngineReplica("e-1", streamEvents(1));
    edge.configure(1, 1_000_000);
    edge.awaitReady();
    InetSocketAddress endpoint = edge.store.addEndpoint();
    try (EdgeFixture isolated = new EdgeFixture("edge-2", edge.store, endpoint)) {
      isolated.awaitReady();
      isolated.awaitLog("event=fleet_size before=4 now=2");
      edge.store.disableEndpoint(endpoint);
      isolated.awaitLog("store_lost");
      String largePrompt = PROMPT_HEADERS.replace("1000,100", "30000,100");
      String response = isolated.send("/draft/1", "a0", largePrompt);
      for (int i = 1; i < 50 && !response.startsWith("HTTP/1.1 200"); i++) {
        assertThat(
            "until a loan arrives, requests are refused", response, startsWith("HTTP/1.1 503"));
        response = isolated.send("/draft/1", "a" + i, largePrompt);
      }
      assertThat(response, startsWith("HTTP/1.1 200"));
      isolated.awaitLog("event=tokens_borrowed customer=customer");
      edge.awaitLog("event=tokens_lent customer=customer");
    }
  }

  @Test
  void claimWithLostStoreResponseIsGrantedOnce() throws Exception {
    startEngineReplica("e-1", streamEvents(20));
    edge.configure(1, 2_200);
    edge.awaitReady();
    edge.store.dropResponses(1);
    int served = 0;
    for (int i = 0; i < 6; i++) {
      served += edge.send("/draft/1", "a" + i, PROMPT_HEADERS).startsWith("HTTP/1.1 200") ? 1 : 0;
    }
    assertThat("requests of 1,100 tokens served from 2,200 prepaid tokens", served, is(2));
  }

  @Test
  void olderOrInvalidConfigurationIsNotApplied() throws Exception {
    startAppReplica("i-1", respondWith("x"));
    edge.configure(5, 1_000);
    edge.awaitReady();
    edge.configure(4, 9_000);
    edge.awaitLog("version=4 applied=false");
    edge.store.put("keyed.op", "config", "not json");
    edge.awaitLog("configuration_refused");
    edge.store.truncate("keyed.op");
    edge.configure(6, 1_000);
    edge.awaitLog("version=6 applied=true");
    assertThat(edge.send("/vote/1", "a1", ""), endsWith("x"));
  }

  @Test
  void drainingReplicaGetsNoNewRequests() throws Exception {
    final FakeReplica draining = startAppReplica("i-1", respondWith("x"));
    startAppReplica("i-2", respondWith("x"));
    configureAndAwaitReady();
    edge.register("i-1", "app", draining, "draining");
    edge.awaitLog("state=DRAINING");
    for (int i = 0; i < 6; i++) {
      edge.send("/vote/1", "a" + i, "");
    }
    assertThat(draining.requests(), hasSize(0));
  }

  /**
   * Guards against an overspend: a stream was counted by one token an event once its service had
   * left the configuration.
   */
  @Test
  void streamWhoseServiceLeavesTheConfigurationIsSettledByItsTokens() throws Exception {
    CountDownLatch left = new CountDownLatch(1);
    startEngineReplica(
        "e-1",
        (request, socket) -> {
          FakeReplica.write(socket, streamHead(request, "s"));
          FakeReplica.write(socket, chunk("id: 0\ndata: x\n\n"));
          left.await();
          for (int i = 1; i < 10; i++) {
            FakeReplica.write(socket, chunk("id: " + i + "\ndata: x\n\n"));
          }
          FakeReplica.write(socket, "0\r\n\r\n");
          return true;
        });
    configureAndAwaitReady();
    try (Socket caller = edge.open()) {
      FakeReplica.write(caller, EdgeFixture.request("/draft/1", "a1", PROMPT_HEADERS, true));
      edge.awaitLog("event=sent id=a1 ");
      edge.configureWithoutModelService(2, 1_000_000);
      edge.awaitLog("event=configuration version=2 ");
      left.countDown();
      assertThat(EdgeFixture.readAll(caller.getInputStream()), endsWith("0\r\n\r\n"));
    }
    edge.awaitLog("event=request id=a1 ");
    assertThat(edge.lineWith("event=request id=a1 "), containsString(" tokens=1050 "));
  }

  @Test
  void stopCompletesOpenStreamAndReturnsTokens() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    startEngineReplica(
        "e-1",
        (request, socket) -> {
          FakeReplica.write(socket, streamHead(request, "s"));
          started.countDown();
          for (int i = 0; i < 20; i++) {
            FakeReplica.write(socket, chunk("id: " + i + "\ndata: x\n\n"));
            Thread.sleep(50);
          }
          FakeReplica.write(socket, "0\r\n\r\n");
          return true;
        });
    configureAndAwaitReady();
    CompletableFuture<String> response =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return edge.send("/draft/1", "a1", PROMPT_HEADERS);
              } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
              }
            });
    started.await();
    edge.stop();
    assertThat(response.get(), allOf(containsString("id: 19"), endsWith("0\r\n\r\n")));
    edge.awaitLog("event=claim_returned customer=customer");
  }

  /**
   * A load balancer that has no other instance keeps sending callers to one that is stopping. Their
   * connections must be refused, or their requests would be cut off by the kill.
   */
  @Test
  void connectionsAreRefusedLateInShutdown() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch end = new CountDownLatch(1);
    startEngineReplica(
        "e-1",
        (request, socket) -> {
          FakeReplica.write(socket, streamHead(request, "s"));
          started.countDown();
          end.await();
          FakeReplica.write(socket, "0\r\n\r\n");
          return true;
        });
    edge.configureWithoutTotal(1);
    edge.awaitReady();
    try (Socket caller = edge.open()) {
      FakeReplica.write(
          caller,
          EdgeFixture.request("/draft/1", "a1", PROMPT_HEADERS, false)
              .replace("Deadline-Ms: 3000", "Deadline-Ms: " + LONG_DEADLINE_MILLIS));
      started.await();
      final CompletableFuture<Void> stop = CompletableFuture.runAsync(edge::stop);
      edge.awaitLog("event=stopped_accepting open_requests=1");
      assertThrows(ConnectException.class, () -> edge.open().close());
      end.countDown();
      stop.get();
      assertThat(EdgeFixture.readAll(caller.getInputStream()), endsWith("0\r\n\r\n"));
    }
  }

  @Test
  void malformedAndOversizedRequestsGet4xx() throws Exception {
    startAppReplica("i-1", respondWith("x"));
    configureAndAwaitReady();
    assertThat(sendRaw("NONSENSE\r\n\r\n"), startsWith("HTTP/1.1 400"));
    assertThat(
        sendRaw("GET /vote/ HTTP/1.1\r\nHost: h.example\r\nX: " + "y".repeat(20_000) + "\r\n\r\n"),
        startsWith("HTTP/1.1 431"));
    assertThat(
        sendRaw("POST /vote/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n"),
        startsWith("HTTP/1.1 413"));
  }

  /** Guards against connections that never complete their request headers. */
  @Test
  void slowRequestHeadersTimeOut() throws Exception {
    startAppReplica("i-1", respondWith("x"));
    configureAndAwaitReady();
    try (Socket socket = edge.open()) {
      FakeReplica.write(socket, "GET /vote/ HTTP/1.1\r\nHo");
      assertThat(EdgeFixture.readAll(socket.getInputStream()), startsWith("HTTP/1.1 408"));
    }
  }

  @Test
  void metricsCountRequestsByOutcome() throws Exception {
    startAppReplica("i-1", respondWith("x"));
    configureAndAwaitReady();
    edge.send("/vote/1", "a1", "");
    assertThat(edge.metrics(), containsString("snipeloom_request_served_total"));
  }

  private String sendRaw(String bytes) throws IOException {
    try (Socket socket = edge.open()) {
      FakeReplica.write(socket, bytes);
      return EdgeFixture.readAll(socket.getInputStream());
    }
  }

  private void configureAndAwaitReady() throws Exception {
    edge.configure(1, 1_000_000);
    edge.awaitReady();
    edge.awaitTokens();
  }

  private FakeReplica startAppReplica(String id, FakeReplica.Script script) throws IOException {
    FakeReplica replica = FakeReplica.start(script);
    edge.register(id, "app", replica, "ready");
    return replica;
  }

  private void startEngineReplica(String id, FakeReplica.Script script) throws IOException {
    edge.register(id, "llm", FakeReplica.start(script), "ready");
  }

  private static FakeReplica.Script respondWith(String body) {
    return (request, socket) -> {
      FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, body));
      return true;
    };
  }

  /** Returns a script that streams events, each of which counts as five tokens. */
  private static FakeReplica.Script streamEvents(int events) {
    return (request, socket) -> {
      FakeReplica.write(socket, streamHead(request, "s"));
      for (int i = 0; i < events; i++) {
        FakeReplica.write(socket, chunk("id: " + i + "\ndata: x\n\n"));
      }
      FakeReplica.write(socket, "0\r\n\r\n");
      return true;
    };
  }

  private static String streamHead(FakeReplica.Request request, String signature) {
    return String.join(
        "\r\n",
        "HTTP/1.1 200 OK",
        "Snipeloom-Attempt-Id: " + request.attempt(),
        "Snipeloom-Replica-Signature: " + signature,
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        "",
        "");
  }

  private static String chunk(String text) {
    int length = text.getBytes(StandardCharsets.ISO_8859_1).length;
    return Integer.toHexString(length) + "\r\n" + text + "\r\n";
  }
}
