package io.snipeloom.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Stops an instance that is a process of its own, while callers keep their connections and use them
 * until the process is gone. Store and replicas are sound fakes in the process of the test.
 */
@Timeout(120)
class KeptConnectionShutdownTest {
  private static final int REPLICAS = 3;
  private static final int SLOTS = 400;
  private static final long WARM_UP_MILLIS = 2_500;
  private static final long CHANGE_INTERVAL_MILLIS = 1_000;

  /** Requests sent later than this after the signal must not be cut, whatever runs on. */
  private static final long EXCUSED_SENT_MILLIS = 3_000;

  /** A request that a replica still works on in this last part of the grace period may be cut. */
  private static final double EXCUSED_GRACE_SHARE = 5.0 / 6;

  /** A request that no replica received may cross a close for this time after its last byte. */
  private static final long CROSSING_MILLIS = 200;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final PacedReplica work = new PacedReplica();
  private final Queue<KeptCaller.Sent> sent = new ConcurrentLinkedQueue<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<FakeReplica> replicas = new ArrayList<>();
  private FakeStore store;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path directory;

  @AfterEach
  void stopReplicas() throws IOException {
    threads.shutdownNow();
    for (FakeReplica replica : replicas) {
      replica.close();
    }
  }

  /**
   * Guards against streams that begin late in the grace period, on connections that were kept, and
   * are cut when the process ends.
   */
  @ParameterizedTest
  @CsvSource({"8, 200, 9000, false, 1", "8, 150, 4500, true, 2", "5, 150, 6000, true, 3"})
  void requestThatReplicaReceivesIsAnsweredWhole(
      double graceSeconds, int callers, int longestStreamMillis, boolean changes, long seed)
      throws Exception {
    try (EdgeProcess edge = start(graceSeconds)) {
      List<KeptCaller> kept = new ArrayList<>();
      List<Future<Void>> running = new ArrayList<>();
      for (int i = 0; i < callers; i++) {
        long callerSeed = seed * 100_000 + i;
        kept.add(new KeptCaller("c" + i, edge.open(), callerSeed, longestStreamMillis, sent::add));
      }
      for (KeptCaller caller : kept) {
        running.add(threads.submit(caller));
      }
      TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
      edge.terminate();
      final long signalNanos = System.nanoTime();
      if (changes) {
        change(edge, signalNanos, graceSeconds);
      }
      long graceMillis = (long) (graceSeconds * 1_000);
      final boolean ended = edge.awaitEnd(graceMillis - millisSince(signalNanos));
      for (Future<Void> caller : running) {
        caller.get(5, TimeUnit.SECONDS);
      }
      report(signalNanos, graceSeconds);
      assertThat("the process ends within its grace period", ended, is(true));
      assertThat(lost(signalNanos, graceSeconds), is(empty()));
      assertThat(repeated(), is(empty()));
      assertThat(sent.size(), is(greaterThan(callers)));
    }
  }

  /** Reloads the settings and changes the configuration, each second, until the process ends. */
  private void change(EdgeProcess edge, long signalNanos, double graceSeconds) throws Exception {
    int version = 2;
    while (!edge.awaitEnd(CHANGE_INTERVAL_MILLIS)
        && millisSince(signalNanos) < (graceSeconds - 1) * 1_000) {
      edge.hangUp();
      configure(version++);
    }
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
  }

  /** Returns the requests that were lost by the sentences of the rule. */
  private List<KeptCaller.Sent> lost(long signalNanos, double graceSeconds) {
    return sent.stream()
        .filter(one -> !one.whole() && !isExcused(one, signalNanos, graceSeconds))
        .toList();
  }

  private boolean isExcused(KeptCaller.Sent one, long signalNanos, double graceSeconds) {
    if (!work.hasRun(one.attempt())) {
      return one.status() == 0 && sinceSent(one) <= CROSSING_MILLIS * NANOS_PER_MILLI;
    }
    boolean early = one.sentNanos() - signalNanos <= EXCUSED_SENT_MILLIS * NANOS_PER_MILLI;
    long lastPartNanos = signalNanos + (long) (graceSeconds * EXCUSED_GRACE_SHARE * 1e9);
    return early
        && one.endedNanos() - lastPartNanos >= 0
        && work.isAtWork(one.attempt(), lastPartNanos);
  }

  private static long sinceSent(KeptCaller.Sent one) {
    return one.endedNanos() - one.sentNanos();
  }

  private List<KeptCaller.Sent> repeated() {
    return sent.stream()
        .filter(one -> one.kind() != KeptCaller.Kind.STREAM && one.kind() != KeptCaller.Kind.LOOK)
        .filter(one -> work.runs(one.attempt()) > 1)
        .toList();
  }

  private void report(long signalNanos, double graceSeconds) {
    long later = sent.stream().filter(one -> one.sentNanos() - signalNanos > 0).count();
    long refused = sent.stream().filter(KeptCaller.Sent::isRefused).count();
    long cut = sent.stream().filter(one -> !one.whole() && work.hasRun(one.attempt())).count();
    System.out.printf(
        "grace %.0f s: %d requests, %d after the signal, %d refused, %d cut, %d of them lost%n",
        graceSeconds, sent.size(), later, refused, cut, lost(signalNanos, graceSeconds).size());
  }

  private EdgeProcess start(double graceSeconds) throws IOException {
    store = FakeStore.start();
    configure(1);
    for (int i = 0; i < REPLICAS; i++) {
      FakeReplica replica = FakeReplica.start(work::respond);
      replicas.add(replica);
      register("app-" + i, "app", replica);
      register("llm-" + i, "llm", replica);
    }
    EdgeProcess edge = new EdgeProcess(directory, store, "edge-1", graceSeconds);
    edge.awaitReady("llm-0");
    return edge;
  }

  private void register(String id, String service, FakeReplica replica) {
    store.put(
        "keyed.servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"slots\":%d,"
                + "\"version\":\"v1\",\"state\":\"ready\",\"born\":1}")
            .formatted(service, replica.port(), SLOTS));
  }

  private void configure(int version) {
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
    return ("{\"name\":\"r%s\",\"host\":\"h.example\",\"pathPrefix\":\"%s\",\"type\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":600,\"service\":\"%s\",\"maxAttempts\":2,"
            + "\"streamResume\":%s}")
        .formatted(
            prefix, prefix, type, type.equals("streaming") ? 10_000 : 3_000, service, resume);
  }
}
