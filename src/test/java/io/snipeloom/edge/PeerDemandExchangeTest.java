package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
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
import java.util.function.DoublePredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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

  private static final Pattern PEERS_IN_FLIGHT = Pattern.compile(" peers_in_flight=([0-9.]+) ");

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final CountDownLatch mayRespond = new CountDownLatch(1);
  private FakeReplica replica;
  private FakeReplica engine;
  private EdgeFixture first;
  private EdgeFixture second;
  private int heldByFirst;
  private int heldBySecond;

  @BeforeEach
  void startFleet() throws Exception {
    FakeStore store = FakeStore.start();
    first = new EdgeFixture("edge-1", store);
    second = new EdgeFixture("edge-2", store);
    replica = FakeReplica.start(this::respond);
    engine = FakeReplica.start(PeerDemandExchangeTest::respondAtOnce);
    first.register("i-1", "app", replica, "ready");
    first.register("e-1", "llm", engine, "ready");
    awaitReplicasBeforeConfiguration();
    first.configure(1, 1_000_000);
    first.awaitReady();
    second.awaitReady();
    first.awaitLog("event=peer_demand known=true");
    second.awaitLog("event=peer_demand known=true");
  }

  /** An instance may read the entries of replicas before what the configuration says of them. */
  private void awaitReplicasBeforeConfiguration() throws InterruptedException {
    first.awaitLog("event=replica replica=e-1 ");
    second.awaitLog("event=replica replica=e-1 ");
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

  /**
   * Guards against shared parts that each instance sends to a replica of its own choice. An
   * instance that has had no report for a second takes assigned parts as cached, so only a request
   * that was sent while the other instance reported tells something.
   */
  @Test
  void partsThatAnotherInstanceSentCountAsCached() throws Exception {
    String sent = "";
    for (int i = 0; i < MOST_ROUNDS && !sent.contains(" peers_reporting=1 "); i++) {
      assertThat(first.send("/draft/1", "d" + i, prompt(i, "1a")), startsWith("HTTP/1.1 200"));
      awaitDemandOfPeer();
      assertThat(second.send("/draft/1", "e" + i, prompt(i, "2b")), startsWith("HTTP/1.1 200"));
      sent = awaitSent(second, "e" + i);
    }
    assertThat("sent while the other reports", sent, containsString(" peers_reporting=1 "));
    assertThat(
        "the shared part counts as cached",
        sent,
        containsString(" unread_tokens=" + OWN_TOKENS + " "));
  }

  private static String prompt(int sharedPart, String ownPart) {
    return "Snipeloom-Token-Counts: %d,100\r\nSnipeloom-Prompt-Prefix: d0c%d:13300,%s:%d\r\n"
        .formatted(13_300 + OWN_TOKENS, sharedPart, ownPart, OWN_TOKENS);
  }

  /** Sends a request to the first instance, and others to the second until it knows of that one. */
  private void awaitDemandOfPeer() throws InterruptedException {
    awaitPeersInFlight(requests -> requests == 0);
    sendAndHold(first, "a" + ++heldByFirst);
    awaitSent(first, "a" + heldByFirst);
    awaitPeersInFlight(requests -> requests > 0);
  }

  /** Sends requests to the second instance until it sees as many of the first as expected. */
  private void awaitPeersInFlight(DoublePredicate expected) throws InterruptedException {
    for (int i = 0; i < MOST_ROUNDS; i++) {
      sendAndHold(second, "b" + ++heldBySecond);
      if (expected.test(peersInFlight(awaitSent(second, "b" + heldBySecond)))) {
        return;
      }
    }
    throw new AssertionError("the second instance never knew the requests of the first");
  }

  private static String awaitSent(EdgeFixture instance, String attempt)
      throws InterruptedException {
    String event = "event=sent id=" + attempt + " ";
    instance.awaitLog(event);
    return instance.lineWith(event);
  }

  private static double peersInFlight(String line) {
    Matcher matcher = PEERS_IN_FLIGHT.matcher(line);
    assertThat(line, matcher.find(), is(true));
    return Double.parseDouble(matcher.group(1));
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
