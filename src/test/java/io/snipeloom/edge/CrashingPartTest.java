package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that requests with a prompt part that crashes replicas stop reaching replicas, at all
 * instances of a fleet, while sound requests with the same key and other parts are served.
 */
@Timeout(90)
class CrashingPartTest {
  private static final int INSTANCES = 4;
  private static final int REPLICAS = 8;
  private static final String CRASHING_PART = "bad0:300";

  /** The platform's bound on the crashes of one part before it has to be known. */
  private static final int KNOWN_AFTER_CRASHES = 5;

  /**
   * The platform's bound, after that and {@link #STABLE_MILLIS}, on what still reaches replicas.
   */
  private static final int MOST_REQUESTS_AFTERWARDS = 3;

  private static final long STABLE_MILLIS = 3_000;

  private final List<EdgeFixture> instances = new ArrayList<>();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final AtomicInteger requests = new AtomicInteger();
  private FakeStore store;
  private CrashingReplicas replicas;

  @BeforeEach
  void startFleet() throws Exception {
    store = FakeStore.start();
    replicas =
        new CrashingReplicas(
            store,
            "llm",
            REPLICAS,
            request -> request.headers().get("Snipeloom-Prompt-Prefix").contains(CRASHING_PART));
    for (int i = 1; i <= INSTANCES; i++) {
      startInstance("edge-" + i);
    }
    instances.get(0).configure(1, 1_000_000_000);
    for (EdgeFixture instance : instances) {
      instance.awaitReady();
    }
  }

  @AfterEach
  void stopFleet() throws IOException {
    callers.shutdownNow();
    instances.forEach(EdgeFixture::close);
    replicas.close();
  }

  /** Guards against replicas that crash one after the other under requests that share a part. */
  @Test
  void crashingPartIsRefusedByAllInstances() throws Exception {
    crashReplicas();
    int before = replicas.crashingRequests().size();
    for (int i = 0; i < 3 * INSTANCES; i++) {
      assertRefused(sendCrashing(instances.get(i % INSTANCES)));
    }
    assertReachedReplicasSince(before);
  }

  /** Guards against a verdict that is lost with the processes that reached it. */
  @Test
  void crashingPartIsRefusedAfterAllInstancesRestarted() throws Exception {
    crashReplicas();
    instances.forEach(EdgeFixture::halt);
    instances.clear();
    for (int i = 1; i <= INSTANCES; i++) {
      startInstance("edge-" + i);
    }
    for (EdgeFixture instance : instances) {
      instance.awaitReady();
    }
    int before = replicas.crashingRequests().size();
    for (EdgeFixture instance : instances) {
      assertRefused(sendCrashing(instance));
    }
    assertReachedReplicasSince(before);
  }

  /** Guards against an instance that was cut off from the store and never learns the verdict. */
  @Test
  void instanceThatWasCutOffRefusesOnceItReachesTheStore() throws Exception {
    InetSocketAddress endpoint = store.addEndpoint();
    try (EdgeFixture isolated = new EdgeFixture("edge-9", store, endpoint)) {
      isolated.awaitReady();
      store.disableEndpoint(endpoint);
      isolated.awaitLog("event=store_lost");
      crashReplicas();
      store.enableEndpoint(endpoint);
      isolated.awaitLog("event=convicted");
      int before = replicas.crashingRequests().size();
      for (int i = 0; i < 4; i++) {
        assertRefused(sendCrashing(isolated));
      }
      assertReachedReplicasSince(before);
    }
  }

  /** Guards against sound requests that suffer from a verdict on a part that they do not have. */
  @Test
  void soundRequestsWithTheOtherPartsAreServedWhileCrashingOnesCome() throws Exception {
    crashReplicas();
    Thread.sleep(STABLE_MILLIS);
    int served = 0;
    int sound = 5 * INSTANCES;
    for (int i = 0; i < sound; i++) {
      EdgeFixture instance = instances.get(i % INSTANCES);
      sendCrashing(instance);
      served += sendSound(instance).startsWith("HTTP/1.1 200") ? 1 : 0;
    }
    assertThat(
        "sound requests served of " + sound + ", " + crashLines(),
        served,
        greaterThanOrEqualTo(sound - 1));
  }

  /** Returns what the instances logged of crashes and refusals, to tell why a test failed. */
  private String crashLines() {
    StringBuilder lines = new StringBuilder();
    for (EdgeFixture instance : instances) {
      lines.append(instance.counts()).append('\n');
      lines.append(instance.linesWith("event=replica_", "event=convict", "outcome=")).append('\n');
    }
    return lines.toString();
  }

  /** Sends crashing requests beside sound ones until the part must be known. */
  private void crashReplicas() throws Exception {
    List<Future<?>> pending = new ArrayList<>();
    for (int i = 0; replicas.crashCount() < KNOWN_AFTER_CRASHES && i < 100; i++) {
      EdgeFixture instance = instances.get(i % INSTANCES);
      EdgeFixture other = instances.get((i + 1) % INSTANCES);
      pending.add(callers.submit(() -> sendSound(other)));
      pending.add(callers.submit(() -> sendCrashing(instance)));
      Thread.sleep(100);
      if (i >= 20 && replicas.crashCount() < KNOWN_AFTER_CRASHES) {
        break;
      }
    }
    for (Future<?> one : pending) {
      one.get();
    }
    Thread.sleep(STABLE_MILLIS);
  }

  private void assertReachedReplicasSince(int before) {
    List<FakeReplica.Request> all = replicas.crashingRequests();
    assertThat(
        "crashing requests that reached replicas",
        all.size() - before,
        lessThanOrEqualTo(MOST_REQUESTS_AFTERWARDS));
  }

  private static void assertRefused(String response) {
    assertThat(response, allOf(startsWith("HTTP/1.1 503"), containsString("retry-after")));
    assertThat(response.contains("Snipeloom-Replica-Signature"), is(false));
  }

  private String sendCrashing(EdgeFixture instance) throws IOException {
    return send(instance, "aa:400," + CRASHING_PART + ",");
  }

  private String sendSound(EdgeFixture instance) throws IOException {
    return send(instance, "aa:400,");
  }

  private String send(EdgeFixture instance, String sharedParts) throws IOException {
    int number = requests.incrementAndGet();
    return instance.send(
        "/draft/" + number,
        "a" + number,
        "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: %sff%x:300\r\n"
            .formatted(sharedParts, number));
  }

  private void startInstance(String name) throws IOException {
    instances.add(new EdgeFixture(name, store));
  }
}
