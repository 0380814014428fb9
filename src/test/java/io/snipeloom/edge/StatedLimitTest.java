package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a fleet keeps to the limit that a replica states for all instances together. */
@Timeout(90)
class StatedLimitTest {
  private static final int INSTANCES = 4;
  private static final double LIMIT_PER_SECOND = 1.2;
  private static final long STABLE_MILLIS = 3_000;
  private static final long WINDOW_MILLIS = 4_000;
  private static final long TEST_MILLIS = 16_000;

  /** The time until each instance has read the second heartbeats of all. */
  private static final long MEMBERS_KNOWN_MILLIS = 5_500;

  /** The platform's bound on the arrivals of a window. */
  private static final int MOST_ARRIVALS =
      (int) (LIMIT_PER_SECOND * WINDOW_MILLIS / 1_000 * 1.5) + 5;

  private final List<EdgeFixture> instances = new ArrayList<>();
  private final List<FakeReplica> replicas = new ArrayList<>();
  private final List<Long> limitedArrivals = new CopyOnWriteArrayList<>();
  private FakeStore store;
  private InetSocketAddress lastEndpoint;

  @BeforeEach
  void startFleet() throws Exception {
    store = FakeStore.start();
    for (int i = 1; i < INSTANCES; i++) {
      instances.add(new EdgeFixture("edge-" + i, store));
    }
    lastEndpoint = store.addEndpoint();
    instances.add(new EdgeFixture("edge-" + INSTANCES, store, lastEndpoint));
    startReplica("i-1", this::respondWithLimit);
    startReplica("i-2", StatedLimitTest::respond);
    startReplica("i-3", StatedLimitTest::respond);
    instances.get(0).configure(1, 1_000_000);
    for (EdgeFixture instance : instances) {
      instance.awaitReady();
    }
  }

  @AfterEach
  void stopFleet() throws IOException {
    instances.forEach(EdgeFixture::close);
    for (FakeReplica replica : replicas) {
      replica.close();
    }
  }

  /** Guards against instances that each know of a limit and send more than it in sum. */
  @Test
  void replicaGetsNoMoreThanItsLimitFromAllInstancesTogether() throws Exception {
    sendForSomeTime();
  }

  /** Guards against an instance that takes a larger share of a limit once it is cut off. */
  @Test
  void limitHoldsWhileAnInstanceIsCutOffFromTheStore() throws Exception {
    Thread.sleep(MEMBERS_KNOWN_MILLIS);
    store.disableEndpoint(lastEndpoint);
    instances.get(INSTANCES - 1).awaitLog("event=store_lost");
    sendForSomeTime();
  }

  private void sendForSomeTime() throws Exception {
    long startMillis = System.currentTimeMillis();
    for (int i = 0; System.currentTimeMillis() - startMillis < TEST_MILLIS; i++) {
      String response = instances.get(i % INSTANCES).send("/status/1", "a" + i, "");
      assertThat("requests are served elsewhere", response, startsWith("HTTP/1.1 200"));
      Thread.sleep(10);
    }
    long from = limitedArrivals.get(0) + STABLE_MILLIS;
    assertThat("arrivals in 4 s", mostInWindow(from), lessThanOrEqualTo(MOST_ARRIVALS));
    long later = limitedArrivals.stream().filter(at -> at >= from).count();
    double possible = LIMIT_PER_SECOND * (startMillis + TEST_MILLIS - from) / 1_000;
    assertThat("arrivals", (double) later, greaterThanOrEqualTo(0.8 * possible - 1));
  }

  /** Guards against requests that are held, or sent all the same, when no replica takes more. */
  @Test
  void requestIsRefusedAtOnceWhenAllReplicasAreAtTheirLimits() throws Exception {
    for (FakeReplica replica : replicas.subList(1, replicas.size())) {
      instances.get(0).register("i-" + (replicas.indexOf(replica) + 1), "app", replica, "draining");
    }
    for (EdgeFixture instance : instances) {
      instance.awaitDraining("i-2");
      instance.awaitDraining("i-3");
    }
    String refused = "";
    for (int i = 0; i < 10 && refused.isEmpty(); i++) {
      String response = instances.get(0).send("/status/1", "b" + i, "");
      refused = response.startsWith("HTTP/1.1 200") ? "" : response;
    }
    assertThat(
        refused,
        allOf(
            startsWith("HTTP/1.1 503"),
            containsString("retry-after: "),
            containsString("take no more requests a second")));
  }

  private int mostInWindow(long from) {
    int most = 0;
    for (long end : limitedArrivals) {
      long count =
          limitedArrivals.stream()
              .filter(at -> at >= from && at <= end && at > end - WINDOW_MILLIS)
              .count();
      most = (int) Math.max(most, count);
    }
    return most;
  }

  private void startReplica(String id, FakeReplica.Script script) throws IOException {
    FakeReplica replica = FakeReplica.start(script);
    replicas.add(replica);
    instances.get(0).register(id, "app", replica, "ready");
  }

  private boolean respondWithLimit(FakeReplica.Request request, Socket socket) throws IOException {
    limitedArrivals.add(System.currentTimeMillis());
    String response = FakeReplica.completeResponse(request.attempt(), 200, "ok");
    String limit = "\r\nServer-Limit: " + LIMIT_PER_SECOND + "\r\n";
    FakeReplica.write(socket, response.replaceFirst("\r\n", limit));
    return true;
  }

  private static boolean respond(FakeReplica.Request request, Socket socket) throws IOException {
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
    return true;
  }
}
