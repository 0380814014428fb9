package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import io.snipeloom.routing.ColdStartBounds;
import io.snipeloom.routing.Places;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests with real instances that a cold replica gets no more than the bound from all of them. */
@Timeout(120)
class ColdReplicaTest {
  private static final int INSTANCES = 4;
  private static final double COLD_SECONDS = 3;
  private static final double COLD_PER_SECOND = 8.4;
  private static final double OVERSHOOT = 1.5;
  private static final double SLACK = 5;
  private static final int MOST_PER_SECOND = (int) (COLD_PER_SECOND * OVERSHOOT + SLACK);
  private static final long COLD_MILLIS = (long) (COLD_SECONDS * 1_000);

  private final List<EdgeFixture> instances = new ArrayList<>();
  private final List<FakeReplica> replicas = new ArrayList<>();
  private final List<Long> coldArrivals = new CopyOnWriteArrayList<>();
  private FakeStore store;
  private InetSocketAddress lastEndpoint;

  @BeforeEach
  void startFleet() throws Exception {
    store = FakeStore.start();
    store.put(
        "keyed.op",
        "config",
        """
        {"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/status/",
          "type":"idempotent","timeoutMs":3000,"service":"app","maxAttempts":2}],
         "services":[{"name":"app","maxConnections":96,"coldStartS":%s,"coldPerS":%s}],
         "tenants":[{"name":"customer","apiKeys":["key"]}]}
        """
            .formatted(COLD_SECONDS, COLD_PER_SECOND));
    startReplica("i-1", 0, ColdReplicaTest::respond);
    lastEndpoint = store.addEndpoint();
    for (int i = 1; i <= INSTANCES; i++) {
      instances.add(
          new EdgeFixture(
              "edge-" + i,
              store,
              i == INSTANCES ? lastEndpoint : store.address(),
              new Places("north", Map.of("zone-a", "north")),
              Optional.of(new ColdStartBounds(OVERSHOOT, SLACK))));
    }
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

  /** Guards against instances that each send a share of their own choice to a cold replica. */
  @Test
  void coldReplicaGetsNoMoreThanTheBoundFromAllInstances() throws Exception {
    awaitEntitled();
    startReplica("i-2", COLD_MILLIS, this::respondWhileCold);
    sendFor(COLD_MILLIS);
    assertThat("arrivals in a second", mostInSecond(), lessThanOrEqualTo(MOST_PER_SECOND));
    assertThat("it is warmed up", coldArrivals.size(), greaterThan(0));
  }

  /** Guards against an instance cut off from the store that takes a larger share. */
  @Test
  void boundHoldsWhileAnInstanceIsCutOffFromTheStore() throws Exception {
    awaitEntitled();
    startReplica("i-2", COLD_MILLIS, this::respondWhileCold);
    instances.get(INSTANCES - 1).awaitLog("event=replica replica=i-2 ");
    store.disableEndpoint(lastEndpoint);
    sendFor(COLD_MILLIS);
    assertThat("arrivals in a second", mostInSecond(), lessThanOrEqualTo(MOST_PER_SECOND));
  }

  /** Guards against an instance that has just started and does not know how many others send. */
  @Test
  void instanceThatHasJustStartedSendsNothingToColdReplicas() throws Exception {
    startReplica("i-2", COLD_MILLIS, this::respondWhileCold);
    for (EdgeFixture instance : instances) {
      instance.awaitLog("event=replica replica=i-2 ");
    }
    for (int i = 0; i < 40; i++) {
      assertThat(
          instances.get(i % INSTANCES).send("/status/1", "a" + i, ""), startsWith("HTTP/1.1 200"));
    }
    assertThat(coldArrivals.size(), is(0));
  }

  /** Guards against requests that are held while all replicas are cold. */
  @Test
  void requestIsRefusedAtOnceWhileTheWholeServiceIsCold() throws Exception {
    store.put("keyed.op", "evacuate/zone-a", "{}");
    instances.get(0).awaitLog("event=evacuation zone=zone-a");
    store.put("keyed.op", "evacuate/zone-a", "");
    instances.get(0).awaitLog("event=evacuation_ended zone=zone-a");
    assertThat(
        instances.get(0).send("/status/1", "cold", ""),
        allOf(startsWith("HTTP/1.1 503"), containsString("retry-after: "), containsString("cold")));
    Thread.sleep(COLD_MILLIS + 2_000);
    assertThat(instances.get(0).send("/status/1", "warm", ""), startsWith("HTTP/1.1 200"));
  }

  private void awaitEntitled() throws InterruptedException {
    for (EdgeFixture instance : instances) {
      instance.awaitLog("event=share_of_bounds entitled=true instances=" + INSTANCES);
    }
  }

  private void sendFor(long millis) throws IOException {
    long startMillis = System.currentTimeMillis();
    for (int i = 0; System.currentTimeMillis() - startMillis < millis; i++) {
      String response = instances.get(i % INSTANCES).send("/status/1", "b" + i, "");
      assertThat("requests are served elsewhere", response, startsWith("HTTP/1.1 200"));
    }
  }

  private int mostInSecond() {
    int most = 0;
    for (long end : coldArrivals) {
      long count = coldArrivals.stream().filter(at -> at <= end && at > end - 1_000).count();
      most = (int) Math.max(most, count);
    }
    return most;
  }

  private void startReplica(String id, long coldMillis, FakeReplica.Script script)
      throws IOException {
    FakeReplica replica = FakeReplica.start(script);
    replicas.add(replica);
    store.put(
        "keyed.servers",
        id,
        ("{\"service\":\"app\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"slots\":6,"
                + "\"version\":\"v1\",\"state\":\"ready\",\"born\":1,\"sequence\":1,"
                + "\"coldRemainingMs\":%d}")
            .formatted(replica.port(), coldMillis));
  }

  private boolean respondWhileCold(FakeReplica.Request request, Socket socket) throws IOException {
    coldArrivals.add(System.currentTimeMillis());
    return respond(request, socket);
  }

  private static boolean respond(FakeReplica.Request request, Socket socket) throws IOException {
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
    return true;
  }
}
