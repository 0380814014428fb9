package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that a request that comes again with the same path, caller and body, and that crashes each
 * replica that runs it, stops reaching replicas at all instances of a fleet.
 */
@Timeout(90)
class CrashingRequestTest {
  private static final int INSTANCES = 4;
  private static final int REPLICAS = 8;
  private static final int CULPRITS = 4;
  private static final String CRASHING_PATH = "/status/crash";

  /** The platform's bound on the crashes of one request before it has to be known. */
  private static final int KNOWN_AFTER_CRASHES = 3;

  /**
   * The platform's bound, after that and {@link #STABLE_MILLIS}, on what still reaches replicas.
   */
  private static final int MOST_REQUESTS_AFTERWARDS = 3;

  private static final long STABLE_MILLIS = 3_000;

  private final List<EdgeFixture> instances = new ArrayList<>();
  private FakeStore store;
  private CrashingReplicas replicas;
  private int requests;

  @BeforeEach
  void startFleet() throws Exception {
    store = FakeStore.start();
    replicas =
        new CrashingReplicas(
            store, "app", REPLICAS, request -> request.line().contains(CRASHING_PATH));
    for (int i = 1; i <= INSTANCES; i++) {
      instances.add(new EdgeFixture("edge-" + i, store));
    }
    instances.get(0).configure(1, 1_000_000);
    for (EdgeFixture instance : instances) {
      instance.awaitReady();
    }
  }

  @AfterEach
  void stopFleet() throws IOException {
    instances.forEach(EdgeFixture::close);
    replicas.close();
  }

  /** Guards against one request that comes again and crashes one replica after the other. */
  @Test
  void requestThatCrashesReplicasIsRefusedByAllInstances() throws Exception {
    for (int i = 0; replicas.crashCount() < KNOWN_AFTER_CRASHES && i < 20; i++) {
      send(instances.get(i % INSTANCES), CRASHING_PATH);
      Thread.sleep(100);
    }
    Thread.sleep(STABLE_MILLIS);
    int before = replicas.crashingRequests().size();
    for (int i = 0; i < 2 * INSTANCES; i++) {
      send(instances.get(i % INSTANCES), CRASHING_PATH);
      Thread.sleep(100);
    }
    for (EdgeFixture instance : instances) {
      assertThat(
          send(instance, CRASHING_PATH),
          allOf(startsWith("HTTP/1.1 503"), containsString("retry-after")));
      assertThat(send(instance, "/status/other"), startsWith("HTTP/1.1 200"));
    }
    assertThat(
        "requests that reached replicas",
        replicas.crashingRequests().size() - before,
        lessThanOrEqualTo(MOST_REQUESTS_AFTERWARDS));
  }

  /**
   * Guards against requests that hide each other because several of them crash replicas, and
   * against an instance that has forgotten them when it starts again.
   */
  @Test
  void severalRequestsThatCrashReplicasAreRefusedAlsoAfterRestart() throws Exception {
    for (int round = 0; round < KNOWN_AFTER_CRASHES; round++) {
      for (int culprit = 0; culprit < CULPRITS; culprit++) {
        send(instances.get((round + culprit) % INSTANCES), CRASHING_PATH + culprit);
        awaitReplicas();
      }
    }
    Thread.sleep(STABLE_MILLIS);
    final int before = replicas.crashingRequests().size();
    restart(0);
    for (int round = 0; round < INSTANCES; round++) {
      for (int culprit = 0; culprit < CULPRITS; culprit++) {
        send(instances.get((round + culprit) % INSTANCES), CRASHING_PATH + culprit);
        Thread.sleep(20);
      }
    }
    for (int culprit = 0; culprit < CULPRITS; culprit++) {
      assertThat(send(instances.get(0), CRASHING_PATH + culprit), startsWith("HTTP/1.1 503"));
    }
    assertThat(
        "requests that reached replicas",
        replicas.crashingRequests().size() - before,
        lessThanOrEqualTo(CULPRITS * MOST_REQUESTS_AFTERWARDS));
    assertThat(send(instances.get(0), "/status/other"), startsWith("HTTP/1.1 200"));
  }

  /** Waits until a replica that crashed is back, so that there is one for each request. */
  private static void awaitReplicas() throws InterruptedException {
    Thread.sleep(CrashingReplicas.RESTART_MILLIS);
  }

  private void restart(int index) throws Exception {
    instances.get(index).halt();
    instances.set(index, new EdgeFixture("edge-" + (index + 1), store));
    instances.get(index).awaitReady();
  }

  private String send(EdgeFixture instance, String path) throws IOException {
    return instance.send(path, "a" + ++requests, "");
  }
}
