package io.snipeloom.edge;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A store and sound replicas, which work as long as each request says, with a configuration that
 * has a route for each kind of request. Confined to one thread.
 */
final class PacedPlatform implements AutoCloseable {
  private static final String REPLICA_TOPIC = "keyed.servers";
  private static final int SLOTS = 400;
  private static final int STREAM_TIMEOUT_MILLIS = 10_000;
  private static final int CALL_TIMEOUT_MILLIS = 3_000;

  private final FakeStore store;
  private final PacedReplica work = new PacedReplica();
  private final List<FakeReplica> replicas = new ArrayList<>();
  private int version;

  PacedPlatform() throws IOException {
    store = FakeStore.start();
    configure();
  }

  FakeStore store() {
    return store;
  }

  PacedReplica work() {
    return work;
  }

  /** Starts a replica, which serves both services. */
  void addReplica() throws IOException {
    replicas.add(FakeReplica.start(work::respond));
    register(replicas.size() - 1, "ready");
  }

  /** Lets the entries of a replica say that it leaves; it goes on to serve. */
  void drainReplica(int index) {
    register(index, "draining");
  }

  /** Removes the entries of a replica; it goes on to serve. */
  void removeReplica(int index) {
    store.put(REPLICA_TOPIC, "app-" + index, "");
    store.put(REPLICA_TOPIC, "llm-" + index, "");
  }

  private void register(int index, String state) {
    register("app", index, state);
    register("llm", index, state);
  }

  private void register(String service, int index, String state) {
    store.put(
        REPLICA_TOPIC,
        service + "-" + index,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"slots\":%d,"
                + "\"version\":\"v1\",\"state\":\"%s\",\"born\":1}")
            .formatted(service, replicas.get(index).port(), SLOTS, state));
  }

  /** Writes the next version of the configuration. */
  void configure() {
    version++;
    String document =
        """
        {"version":%d,"routes":[%s,%s,%s,%s],
         "services":[{"name":"app","maxConnections":960},
          {"name":"llm","engine":{"slots":%d,"kvCapacityTokens":4000000,"stride":5}}],
         "tenants":[{"name":"customer","apiKeys":["key"]}]}
        """
            .formatted(
                version,
                route("/status/", "idempotent", "app", false),
                route("/vote/", "non_idempotent", "app", false),
                route("/once/", "streaming", "llm", false),
                route("/draft/", "streaming", "llm", true),
                SLOTS);
    store.put("keyed.op", "config", document);
  }

  private static String route(String prefix, String type, String service, boolean resume) {
    int timeoutMillis = type.equals("streaming") ? STREAM_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS;
    return ("{\"name\":\"r%s\",\"host\":\"h.example\",\"pathPrefix\":\"%s\",\"type\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":600,\"service\":\"%s\",\"maxAttempts\":2,"
            + "\"streamResume\":%s}")
        .formatted(prefix, prefix, type, timeoutMillis, service, resume);
  }

  @Override
  public void close() throws IOException {
    store.stop();
    for (FakeReplica replica : replicas) {
      replica.close();
    }
  }
}
