import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 9: a replica leaves, its entry is removed and all machines have read that; then the store
 * comes back from a copy in which the replica is ready. Judges whether requests that callers send
 * later than {@code drainMs} after the machines have read the removal reach the replica.
 */
final class RemovedReplicaComesBack {
  private static final long DRAIN_MILLIS = 2_000;
  private static final int MACHINES = 2;
  private static final int REPLICAS = 3;
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 100;
  private static final long GAP_MILLIS = 40;
  private static final long COPY_BEFORE_REMOVAL_MILLIS = 1_000;
  private static final long DRILL_AFTER_REMOVAL_MILLIS = 3_000;
  private static final long AWAY_MILLIS = 500;
  /** How long after the return the replicas, and who removes entries, have written again. */
  private static final long WRITTEN_AGAIN_MILLIS = 1_500;
  /** How long after the return the replica serves on until it ends. */
  private static final long SERVES_AFTER_RETURN_MILLIS = 1_000;
  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[{\"name\":\"r-vote\",\"host\":\"desk.example\","
          + "\"pathPrefix\":\"/vote/\",\"type\":\"non_idempotent\",\"timeoutMs\":2000,"
          + "\"targetLatencyMs\":121,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":1,"
          + "\"anonymous\":true,\"sessionAffinity\":false,\"streamResume\":false,"
          + "\"targetGapMs\":0}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\","
          + "\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
          + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
          + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

  private final RunRecord record;
  private final StandinCaller caller;
  private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
  private final Map<String, String> ranAt = new ConcurrentHashMap<>();
  private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
  private final Map<Integer, Long> acknowledgedNanos = new HashMap<>();
  private final AtomicInteger attempts = new AtomicInteger();

  private RemovedReplicaComesBack(RunRecord record) {
    this.record = record;
    this.caller = new StandinCaller(record);
  }

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      code = new RemovedReplicaComesBack(record).play(repository, trouble) ? 1 : 0;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  private boolean play(Path repository, boolean trouble) throws Exception {
    Path directory = Files.createTempDirectory("review");
    List<EdgeInstance> edges = new ArrayList<>();
    List<StandinReplica> replicas = new ArrayList<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(EdgeInstance::kill)));
    String leavingId;
    try (StandinStore store = new StandinStore(record)) {
      store.put("keyed.op", "config", CONFIGURATION);
      for (int i = 1; i <= REPLICAS; i++) {
        StandinReplica replica =
            new StandinReplica("i-" + i, "desk", SLOTS, store, record, this::vote);
        replica.register();
        replicas.add(replica);
      }
      for (int i = 1; i <= MACHINES; i++) {
        InetSocketAddress address = store.open();
        edges.add(new EdgeInstance(i, repository, directory, address, record));
        edges.get(i - 1).start();
      }
      for (EdgeInstance edge : edges) {
        edge.awaitReady();
      }
      StandinReplica.sleep(6_000);
      StandinReplica leaving = replicas.get(REPLICAS - 1);
      leavingId = leaving.id();
      keepSending(edges, callers, 2_000);
      if (trouble) {
        store.copy();
      }
      keepSending(edges, callers, COPY_BEFORE_REMOVAL_MILLIS);
      long end = leaving.removeEntry();
      store.onRead(call -> onRead(call, end));
      keepSending(edges, callers, DRILL_AFTER_REMOVAL_MILLIS);
      if (trouble) {
        store.goAway();
        keepSending(edges, callers, AWAY_MILLIS);
        store.comeBack();
        store.put("keyed.op", "config", CONFIGURATION);
        replicas.stream().filter(other -> other != leaving).forEach(StandinReplica::writeEntry);
      } else {
        keepSending(edges, callers, AWAY_MILLIS);
      }
      keepSending(edges, callers, SERVES_AFTER_RETURN_MILLIS);
      leaving.close();
      record.line("replica %s: has ended", leavingId);
      keepSending(edges, callers, WRITTEN_AGAIN_MILLIS - SERVES_AFTER_RETURN_MILLIS);
      if (trouble) {
        leaving.removeEntry();
      }
      keepSending(edges, callers, 1_000);
      callers.shutdown();
      callers.awaitTermination(5, TimeUnit.SECONDS);
      for (EdgeInstance edge : edges) {
        record.line("log of %s:%n%s", edge.name(), registryLines(edge.log()));
      }
    } finally {
      edges.forEach(EdgeInstance::close);
      for (StandinReplica replica : replicas) {
        replica.close();
      }
    }
    return judge(leavingId);
  }

  private static String registryLines(String log) {
    return String.join(
        "\n",
        log.lines().filter(line -> line.matches(".*event=(replica|store_).*")).limit(200).toList());
  }

  /** Records when the machine behind a port has read the removal: it asks for what follows it. */
  private void onRead(StandinStore.ReadCall call, long end) {
    if (call.topic().equals("keyed.servers") && call.from() >= end) {
      synchronized (acknowledgedNanos) {
        if (acknowledgedNanos.putIfAbsent(call.port(), System.nanoTime()) == null) {
          record.line("store: the machine at port %d has read the removal", call.port());
        }
      }
    }
  }

  /** Lets callers send requests to all machines in turn for some time. */
  private void keepSending(List<EdgeInstance> edges, ExecutorService callers, long millis) {
    long endNanos = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < endNanos) {
      int number = attempts.incrementAndGet();
      String attempt = "vote-" + number;
      EdgeInstance edge = edges.get(number % edges.size());
      callers.execute(
          () -> {
            sentNanos.put(attempt, System.nanoTime());
            StandinCaller.Answer answer =
                caller.send(
                    edge.callers(),
                    attempt,
                    "POST",
                    "/vote/" + number,
                    "Snipeloom-Deadline-Ms: 1500\r\n");
            statuses.put(attempt, answer.status());
          });
      StandinReplica.sleep(GAP_MILLIS);
    }
  }

  private void vote(StandinReplica replica, Http request, String common, OutputStream out)
      throws IOException {
    ranAt.put(request.header("snipeloom-attempt-id"), replica.id());
    StandinReplica.sleep(WORK_MILLIS);
    StandinReplica.write(
        out, "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 4\r\n\r\ndone");
  }

  private boolean judge(String leavingId) {
    if (acknowledgedNanos.size() < MACHINES) {
      throw new IllegalStateException("not all machines have read the removal");
    }
    long lastNanos =
        acknowledgedNanos.values().stream().max(Comparator.naturalOrder()).orElseThrow();
    List<String> late =
        ranAt.entrySet().stream()
            .filter(entry -> entry.getValue().equals(leavingId))
            .map(Map.Entry::getKey)
            .filter(attempt -> sentNanos.get(attempt) - lastNanos > DRAIN_MILLIS * 1_000_000)
            .toList();
    long unknown =
        late.stream().filter(attempt -> statuses.getOrDefault(attempt, 0) != 200).count();
    record.result(
        "DRAIN %s: %d requests that callers sent later than %d ms after all machines had read that "
            + "%s left were run by it; %d of them, which may run once only, had no 200",
        late.isEmpty() ? "held" : "broken", late.size(), DRAIN_MILLIS, leavingId, unknown);
    return !late.isEmpty();
  }
}
