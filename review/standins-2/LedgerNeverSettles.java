import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Case 7: the store comes back from an older copy twice within a minute. Judges whether at least a
 * quarter of the requests is served again later than {@code recoveryS} after the second return.
 */
final class LedgerNeverSettles {
  private static final long PREPAID = 4_721_775;
  private static final List<String> TENANTS = List.of("senate", "library", "registry");
  private static final int INPUT_TOKENS = 1_460;
  private static final int MAX_OUTPUT_TOKENS = 60;
  private static final int EVENTS = 20;
  private static final int TOKENS_PER_EVENT = 3;
  private static final long EVENT_MILLIS = 2;
  private static final int MACHINES = 4;
  private static final long GAP_MILLIS = 250;
  private static final long BEFORE_MILLIS = 8_000;
  private static final long COPY_AGE_MILLIS = 2_500;
  private static final long AWAY_MILLIS = 1_000;
  private static final long BETWEEN_MILLIS = 6_000;
  private static final long AFTER_MILLIS = 60_000;
  private static final long RECOVERY_NANOS = 12_000_000_000L;
  private static final double SERVED_SHARE = 0.25;

  private final RunRecord record;
  private final StandinCaller caller;
  private final Queue<Sent> all = new ConcurrentLinkedQueue<>();
  private volatile boolean ending;

  /** A request that was answered. */
  private record Sent(long atNanos, boolean served, int events) {}

  private LedgerNeverSettles(RunRecord record) {
    this.record = record;
    this.caller = new StandinCaller(record);
  }

  public static void main(String[] arguments) {
    Path repository = Path.of(arguments[0]);
    String variant = System.getenv().getOrDefault("TROUBLE", "1");
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      code = new LedgerNeverSettles(record).play(repository, variant) ? 1 : 0;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  private static String configuration() {
    List<String> tenants = new ArrayList<>();
    for (String tenant : TENANTS) {
      tenants.add(
          "{\"name\":\"%s\",\"apiKeys\":[\"key-%s\"],\"priority\":1,\"prepaid\":%d}"
              .formatted(tenant, tenant, PREPAID));
    }
    return ("{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"desk.example\","
            + "\"pathPrefix\":\"/draft/\",\"type\":\"streaming\",\"timeoutMs\":8000,"
            + "\"targetLatencyMs\":600,\"priority\":0,\"service\":\"llm\",\"maxAttempts\":2,"
            + "\"anonymous\":false,\"sessionAffinity\":true,\"streamResume\":true,"
            + "\"targetGapMs\":400}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","
            + "\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
            + "\"kvCapacityTokens\":401764,\"stride\":%d}}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[%s]}")
        .formatted(TOKENS_PER_EVENT, String.join(",", tenants));
  }

  /**
   * Plays the case; returns whether the rule was broken.
   *
   * @param variant 0 without the drills, "last" with the last one alone, both otherwise
   */
  private boolean play(Path repository, String variant) throws Exception {
    boolean lastDrill = !variant.equals("0");
    boolean firstDrill = lastDrill && !variant.equals("last");
    Path directory = Files.createTempDirectory("review");
    List<EdgeInstance> edges = new ArrayList<>();
    List<StandinReplica> replicas = new ArrayList<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(EdgeInstance::kill)));
    long lastDrillNanos;
    long lastReturnNanos;
    try (StandinStore store = new StandinStore(record)) {
      store.put("keyed.op", "config", configuration());
      for (int i = 1; i <= 2; i++) {
        StandinReplica replica =
            new StandinReplica("i-" + i, "llm", 64, store, record, LedgerNeverSettles::stream);
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
      List<Thread> callers = new ArrayList<>();
      for (EdgeInstance edge : edges) {
        Thread one = new Thread(() -> keepSending(edge));
        one.start();
        callers.add(one);
      }
      StandinReplica.sleep(BEFORE_MILLIS);
      drill(store, replicas, firstDrill);
      StandinReplica.sleep(BETWEEN_MILLIS);
      lastDrillNanos = drill(store, replicas, lastDrill);
      lastReturnNanos = System.nanoTime();
      StandinReplica.sleep(AFTER_MILLIS);
      ending = true;
      for (Thread one : callers) {
        one.join();
      }
      for (EdgeInstance edge : edges) {
        record.line("log of %s:%n%s", edge.name(), spendLines(edge.log()));
      }
    } finally {
      edges.forEach(EdgeInstance::close);
      for (StandinReplica replica : replicas) {
        replica.close();
      }
    }
    return judge(lastDrillNanos, lastReturnNanos);
  }

  /** Lets the store come back from a copy; returns when the drill began. */
  private static long drill(StandinStore store, List<StandinReplica> replicas, boolean played) {
    if (!played) {
      StandinReplica.sleep(COPY_AGE_MILLIS + AWAY_MILLIS);
      return System.nanoTime();
    }
    store.copy();
    StandinReplica.sleep(COPY_AGE_MILLIS);
    final long beganNanos = System.nanoTime();
    store.goAway();
    StandinReplica.sleep(AWAY_MILLIS);
    store.comeBack();
    store.put("keyed.op", "config", configuration());
    replicas.forEach(StandinReplica::writeEntry);
    return beganNanos;
  }

  private static String spendLines(String log) {
    return String.join(
        "\n",
        log.lines()
            .filter(line -> line.matches(".*event=(tokens|store_lost|store_re).*"))
            .limit(300)
            .toList());
  }

  /** Sends requests to one machine, one after the other, of all tenants in turn. */
  private void keepSending(EdgeInstance edge) {
    for (int i = 0; !ending; i++) {
      long atNanos = System.nanoTime();
      StandinCaller.Answer answer =
          caller.send(
              edge.callers(),
              edge.name() + "-" + i,
              "POST",
              "/draft/" + i,
              ("Snipeloom-Model: m\r\nSnipeloom-Token-Counts: %d,%d\r\n"
                      + "Snipeloom-Prompt-Prefix: a%d:%d\r\nSnipeloom-Deadline-Ms: 8000\r\n"
                      + "Snipeloom-Credential: key-%s\r\n")
                  .formatted(
                      INPUT_TOKENS,
                      MAX_OUTPUT_TOKENS,
                      i,
                      INPUT_TOKENS,
                      TENANTS.get(i % TENANTS.size())));
      boolean served = answer.status() == 200 && answer.complete();
      all.add(new Sent(atNanos, served, answer.events()));
      StandinReplica.sleep(GAP_MILLIS);
    }
  }

  private static void stream(
      StandinReplica replica, Http request, String common, OutputStream out) throws IOException {
    StandinReplica.write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + common
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int last = Integer.parseInt("0" + request.header("last-event-id"));
    for (int i = last + 1; i <= EVENTS; i++) {
      StandinReplica.sleep(EVENT_MILLIS);
      String event = "id: " + i + "\ndata: tokens of " + i + "\n\n";
      StandinReplica.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    StandinReplica.write(out, "0\r\n\r\n");
  }

  private boolean judge(long lastDrillNanos, long lastReturnNanos) {
    List<Sent> before = all.stream().filter(one -> one.atNanos() < lastDrillNanos).toList();
    List<Sent> after =
        all.stream().filter(one -> one.atNanos() > lastReturnNanos + RECOVERY_NANOS).toList();
    double shareBefore = share(before);
    double shareAfter = share(after);
    boolean broken = shareBefore >= SERVED_SHARE && shareAfter < SERVED_SHARE;
    long tokens =
        all.stream()
            .filter(one -> one.events() > 0)
            .mapToLong(one -> INPUT_TOKENS + (long) one.events() * TOKENS_PER_EVENT)
            .sum();
    record.result(
        "RECOVER %s: served %.3f of %d requests before, %.3f of %d later than 12 s after the last"
            + " return; %d tenants got %d tokens together of %d prepaid each",
        broken ? "broken" : "held",
        shareBefore,
        before.size(),
        shareAfter,
        after.size(),
        TENANTS.size(),
        tokens,
        PREPAID);
    return broken;
  }

  private static double share(List<Sent> sent) {
    return sent.isEmpty() ? 0 : (double) sent.stream().filter(Sent::served).count() / sent.size();
  }
}
