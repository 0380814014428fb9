package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that instances know of each other's requests, and go on when one of them is gone. */
@Timeout(60)
class PeerDemandExchangeTest {
  private static final int OWN_TOKENS = 3_720;

  /** Each round takes at least 10 ms; a report is due each 100 ms. */
  private static final int MOST_ROUNDS = 500;

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final CountDownLatch mayRespond = new CountDownLatch(1);
  private FakeReplica replica;
  private FakeReplica engine;
  private EdgeFixture first;
  private EdgeFixture second;

  @BeforeEach
  void startFleet() throws Exception {
    FakeStore store = FakeStore.start();
    first = new EdgeFixture("edge-1", store);
    second = new EdgeFixture("edge-2", store);
    replica = FakeReplica.start(this::respond);
    engine = FakeReplica.start(PeerDemandExchangeTest::respondAtOnce);
    first.register("i-1", "app", replica, "ready");
    first.register("e-1", "llm", engine, "ready");
    first.configure(1, 1_000_000);
    first.awaitReady();
    second.awaitReady();
    first.awaitLog("event=peer_demand known=true");
    second.awaitLog("event=peer_demand known=true");
  }

  @AfterEach
  void stopFleet() throws IOException {
    mayRespond.countDown();
    callers.shutdownNow();
    first.close();
    second.close();
    replica.close();
    engine.close();
  }

  /** Guards against an instance that chooses without knowing what others have sent. */
  @Test
  void requestsThatAnotherInstanceSentAreKnown() throws Exception {
    awaitDemandOfPeer();
  }

  /** Guards against shared parts that each instance sends to a replica of its own choice. */
  @Test
  void partsThatAnotherInstanceSentCountAsCached() throws Exception {
    assertThat(first.send("/draft/1", "d1", prompt("1a")), startsWith("HTTP/1.1 200"));
    awaitDemandOfPeer();
    assertThat(second.send("/draft/1", "d2", prompt("2b")), startsWith("HTTP/1.1 200"));
    second.awaitLog("event=sent id=d2");
    String expected = "unread_tokens=" + OWN_TOKENS + " ";
    assertThat(
        "the shared part counts as cached",
        second.hasLogged(line -> line.contains("id=d2 ") && line.contains(expected)),
        is(true));
  }

  private static String prompt(String ownPart) {
    return "Snipeloom-Token-Counts: %d,100\r\nSnipeloom-Prompt-Prefix: d0c:13300,%s:%d\r\n"
        .formatted(13_300 + OWN_TOKENS, ownPart, OWN_TOKENS);
  }

  /** Sends requests until the second instance knows of an earlier request of the first. */
  private void awaitDemandOfPeer() throws InterruptedException {
    for (int i = 0; i < MOST_ROUNDS && !isDemandOfPeerKnown(); i++) {
      String held = "a" + i;
      sendAndHold(first, held);
      first.awaitLog("event=sent id=" + held);
      String next = "b" + i;
      sendAndHold(second, next);
      second.awaitLog("event=sent id=" + next);
    }
    assertThat("known at the second instance", isDemandOfPeerKnown(), is(true));
  }

  private void sendAndHold(EdgeFixture instance, String attempt) {
    callers.execute(
        () -> {
          try {
            instance.send("/vote/1", attempt, "");
          } catch (IOException e) {
            // The test has ended; the response is not looked at.
            return;
          }
        });
  }

  private boolean isDemandOfPeerKnown() {
    return second.hasLogged(
        line -> line.contains("peers_in_flight=") && !line.contains("peers_in_flight=0.0"));
  }

  @Test
  void instanceServesAloneAfterTheOtherIsGone() throws Exception {
    mayRespond.countDown();
    second.halt();
    first.awaitLog("event=peer_demand known=false");
    assertThat(first.send("/status/1", "a3", ""), startsWith("HTTP/1.1 200"));
  }

  private static boolean respondAtOnce(FakeReplica.Request request, Socket socket)
      throws IOException {
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
    return true;
  }

  private boolean respond(FakeReplica.Request request, Socket socket) throws IOException {
    try {
      mayRespond.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return respondAtOnce(request, socket);
  }
}
