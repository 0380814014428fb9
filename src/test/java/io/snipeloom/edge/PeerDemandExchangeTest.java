package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that instances know of each other's requests, and go on when one of them is gone. */
@Timeout(60)
class PeerDemandExchangeTest {
  private final CountDownLatch mayRespond = new CountDownLatch(1);
  private FakeReplica replica;
  private EdgeFixture first;
  private EdgeFixture second;

  @BeforeEach
  void startFleet() throws Exception {
    FakeStore store = FakeStore.start();
    first = new EdgeFixture("edge-1", store);
    second = new EdgeFixture("edge-2", store);
    replica = FakeReplica.start(this::respond);
    first.register("i-1", "app", replica, "ready");
    first.configure(1, 1_000_000);
    first.awaitReady();
    second.awaitReady();
    first.awaitLog("event=peer_demand known=true");
    second.awaitLog("event=peer_demand known=true");
  }

  @AfterEach
  void stopFleet() throws IOException {
    mayRespond.countDown();
    first.close();
    second.close();
    replica.close();
  }

  /** Guards against an instance that chooses without knowing what others have sent. */
  @Test
  void requestThatAnotherInstanceSentIsKnown() throws Exception {
    try (Socket waiting = first.open()) {
      String request = EdgeFixture.request("/status/1", "a1", "", true);
      waiting.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      first.awaitLog("event=sent id=a1");
      Thread.sleep(500);
      mayRespond.countDown();
      assertThat(second.send("/status/1", "a2", ""), startsWith("HTTP/1.1 200"));
    }
    second.awaitLog("peers_in_flight=1.0");
  }

  @Test
  void instanceServesAloneAfterTheOtherIsGone() throws Exception {
    mayRespond.countDown();
    second.halt();
    first.awaitLog("event=peer_demand known=false");
    assertThat(first.send("/status/1", "a3", ""), startsWith("HTTP/1.1 200"));
  }

  private boolean respond(FakeReplica.Request request, Socket socket) throws IOException {
    try {
      mayRespond.await(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
    return true;
  }
}
