package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import io.snipeloom.routing.Places;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests with real instances where requests go while zones are evacuated and homes change. */
@Timeout(90)
class PlacementTest {
  private static final String OPERATORS_TOPIC = "keyed.op";
  private static final String EVACUATE_A = "evacuate/zone-a";
  private static final String EVACUATE_B = "evacuate/zone-b";
  private static final Places PLACES =
      new Places("north", Map.of("zone-a", "north", "zone-b", "south"));

  /** More than all that may delay a request besides an upstream. */
  private static final long AT_ONCE_MILLIS = 1_000;

  private final List<EdgeFixture> instances = new ArrayList<>();
  private final List<FakeReplica> replicas = new ArrayList<>();
  private final CountDownLatch release = new CountDownLatch(1);
  private FakeStore store;
  private FakeReplica north;
  private FakeReplica south;
  private int version;

  @BeforeEach
  void startFleet() throws Exception {
    store = FakeStore.start();
    north = startReplica("i-north", "zone-a");
    south = startReplica("i-south", "zone-b");
    configure("", "");
    for (int i = 1; i <= 2; i++) {
      instances.add(new EdgeFixture("edge-" + i, store, store.address(), PLACES, Optional.empty()));
    }
    for (EdgeFixture instance : instances) {
      instance.awaitReady();
    }
  }

  @AfterEach
  void stopFleet() throws IOException {
    release.countDown();
    instances.forEach(EdgeFixture::close);
    for (FakeReplica replica : replicas) {
      replica.close();
    }
  }

  /** Guards against requests that go on reaching a zone while operators work in it. */
  @Test
  void evacuatedZoneGetsNoRequestUntilItIsTakenBack() throws Exception {
    send(20, "before");
    assertThat(north.requests().size(), greaterThan(0));
    order(EVACUATE_A);
    int reached = north.requests().size();
    send(40, "evacuated");
    assertThat("requests to the evacuated zone", north.requests().size(), is(reached));
    takeBack(EVACUATE_A);
    send(20, "after");
    assertThat(north.requests().size(), greaterThan(reached));
  }

  /** Guards against requests that are held, or said to have run, when no zone is left. */
  @Test
  void requestIsRefusedAtOnceWhileAllZonesAreEvacuated() throws Exception {
    order(EVACUATE_A);
    order(EVACUATE_B);
    long startMillis = System.currentTimeMillis();
    String response = instances.get(0).send("/vote/1", "none", "");
    assertThat(System.currentTimeMillis() - startMillis, lessThan(AT_ONCE_MILLIS));
    assertThat(
        response,
        allOf(
            startsWith("HTTP/1.1 503"),
            containsString("retry-after: "),
            containsString("evacuated zones")));
    takeBack(EVACUATE_B);
    assertThat(instances.get(0).send("/vote/1", "one", ""), startsWith("HTTP/1.1 200"));
    assertThat(north.requests().size(), is(0));
  }

  /** Guards against an evacuation that cuts the requests which run in the zone. */
  @Test
  void requestThatRunsInTheZoneEndsInPeace() throws Exception {
    order(EVACUATE_B);
    final CompletableFuture<String> running = sendAsync("/slow/1", "running");
    awaitRequests(north, 1);
    takeBack(EVACUATE_B);
    order(EVACUATE_A);
    release.countDown();
    assertThat(running.get(10, TimeUnit.SECONDS), startsWith("HTTP/1.1 200"));
  }

  /** Guards against a retry that goes to an evacuated zone because nothing was tried there. */
  @Test
  void retryDoesNotGoToAnEvacuatedZone() throws Exception {
    order(EVACUATE_A);
    CompletableFuture<String> broken = sendAsync("/break/1", "broken");
    awaitRequests(south, 1);
    release.countDown();
    assertThat(broken.get(10, TimeUnit.SECONDS), startsWith("HTTP/1.1 200"));
    assertThat("requests to the evacuated zone", north.requests().size(), is(0));
    assertThat(south.requests().size(), is(2));
  }

  /** Guards against a listing without the order that ends an evacuation, the store being back. */
  @Test
  void evacuationHoldsWhenTheStoreComesBackFromOlderCopy() throws Exception {
    store.copy();
    order(EVACUATE_A);
    store.revert();
    for (EdgeFixture instance : instances) {
      instance.awaitLog("event=store_reverted");
    }
    send(20, "reverted");
    assertThat("requests to the evacuated zone", north.requests().size(), is(0));
  }

  /** Guards against requests that leave the regions of their route or of their customer. */
  @Test
  void requestStaysInTheRegionsThatRouteAndCustomerAllow() throws Exception {
    reconfigure("\"north\"", "");
    send(20, "route");
    assertThat("requests outside the route's region", south.requests().size(), is(0));
    reconfigure("\"north\",\"south\"", "\"south\"");
    int reached = north.requests().size();
    send(20, "customer");
    assertThat("requests outside the customer's region", north.requests().size(), is(reached));
    assertThat(south.requests().size(), greaterThan(0));
  }

  @Test
  void requestWithoutHomeLeftIsRefusedAtOnce() throws Exception {
    reconfigure("\"north\"", "\"south\"");
    assertThat(
        instances.get(0).send("/vote/1", "homeless", ""),
        allOf(startsWith("HTTP/1.1 503"), containsString("regions of the request")));
    assertThat(north.requests().size() + south.requests().size(), is(0));
  }

  /** Guards against a retry by the homes that were in force when the request arrived. */
  @Test
  void retryKeepsToTheHomesThatChangedMeanwhile() throws Exception {
    order(EVACUATE_B);
    final CompletableFuture<String> broken = sendAsync("/break/1", "moved");
    awaitRequests(north, 1);
    takeBack(EVACUATE_B);
    reconfigure("\"north\"", "");
    release.countDown();
    assertThat(broken.get(10, TimeUnit.SECONDS), startsWith("HTTP/1.1 200"));
    assertThat("requests outside the homes", south.requests().size(), is(0));
  }

  private void order(String key) throws InterruptedException {
    store.put(OPERATORS_TOPIC, key, "{}");
    awaitOnAll("event=evacuation zone=" + key.substring("evacuate/".length()));
  }

  private void takeBack(String key) throws InterruptedException {
    store.put(OPERATORS_TOPIC, key, "");
    awaitOnAll("event=evacuation_ended zone=" + key.substring("evacuate/".length()));
  }

  private void reconfigure(String routeHomes, String customerHomes) throws InterruptedException {
    configure(routeHomes, customerHomes);
    awaitOnAll("event=configuration version=" + version + " applied=true");
  }

  private void awaitOnAll(String text) throws InterruptedException {
    for (EdgeFixture instance : instances) {
      instance.awaitLog(text);
    }
  }

  private void configure(String routeHomes, String customerHomes) {
    version++;
    String routes =
        route("/status/", "idempotent", 2, routeHomes)
            + ","
            + route("/vote/", "non_idempotent", 1, routeHomes)
            + ","
            + route("/slow/", "non_idempotent", 1, routeHomes)
            + ","
            + route("/break/", "idempotent", 2, routeHomes);
    store.put(
        OPERATORS_TOPIC,
        "config",
        """
        {"version":%d,"routes":[%s],"services":[{"name":"app","maxConnections":96}],
         "tenants":[{"name":"customer","apiKeys":["key"],"allowedRegions":[%s]}]}
        """
            .formatted(version, routes, customerHomes));
  }

  private static String route(String prefix, String type, int attempts, String homes) {
    return ("{\"name\":\"r%s\",\"host\":\"h.example\",\"pathPrefix\":\"%s\",\"type\":\"%s\","
            + "\"timeoutMs\":8000,\"targetLatencyMs\":3000,\"service\":\"app\",\"maxAttempts\":%d,"
            + "\"allowedRegions\":[%s]}")
        .formatted(prefix, prefix, type, attempts, homes);
  }

  private void send(int count, String name) throws IOException {
    for (int i = 0; i < count; i++) {
      String response = instances.get(i % 2).send("/status/1", name + i, "");
      assertThat(response, startsWith("HTTP/1.1 200"));
    }
  }

  private CompletableFuture<String> sendAsync(String path, String attempt) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return instances.get(0).send(path, attempt, "");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  private static void awaitRequests(FakeReplica replica, int count) throws InterruptedException {
    while (replica.requests().size() < count) {
      Thread.sleep(5);
    }
  }

  private FakeReplica startReplica(String id, String zone) throws IOException {
    FakeReplica replica = FakeReplica.start(this::respond);
    replicas.add(replica);
    store.put(
        "keyed.servers",
        id,
        ("{\"service\":\"app\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"slots\":6,"
                + "\"version\":\"v1\",\"state\":\"ready\",\"born\":1}")
            .formatted(replica.port(), zone));
    return replica;
  }

  /** Responds to the first request of a path that breaks only by closing the connection. */
  private boolean respond(FakeReplica.Request request, Socket socket)
      throws IOException, InterruptedException {
    boolean held = !request.line().contains("/status/") && !request.line().contains("/vote/");
    if (held && release.getCount() > 0) {
      release.await();
      if (request.line().contains("/break/")) {
        return false;
      }
    }
    FakeReplica.write(socket, FakeReplica.completeResponse(request.attempt(), 200, "ok"));
    return true;
  }
}
