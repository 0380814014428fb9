import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 6: the store comes back from an older copy and turns one of four machines away for some
 * seconds. Judges whether the tenant gets more than its prepaid total.
 */
final class TotalSpentTwice {
  private static final long PREPAID = 60_000;
  private static final int INPUT_TOKENS = 1_460;
  private static final int MAX_OUTPUT_TOKENS = 60;
  private static final int EVENTS = 20;
  private static final int TOKENS_PER_EVENT = 3;
  private static final long EVENT_MILLIS = 2;
  private static final int MACHINES = 4;
  private static final int SENDERS_FIRST = 3;
  private static final int SENT_FIRST = 10;
  private static final long COPY_AGE_MILLIS = 1_000;
  private static final int SENT_MEANWHILE = 45;
  private static final int SENT_LAST = 10;
  private static final long GAP_MILLIS = 100;
  private static final long AWAY_MILLIS = 1_000;
  private static final long TURNED_AWAY_MILLIS = 8_000;
  private static final String CONFIGURATION =
      ("{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"desk.example\","
              + "\"pathPrefix\":\"/draft/\",\"type\":\"streaming\",\"timeoutMs\":8000,"
              + "\"targetLatencyMs\":600,\"priority\":0,\"service\":\"llm\",\"maxAttempts\":2,"
              + "\"anonymous\":false,\"sessionAffinity\":true,\"streamResume\":true,"
              + "\"targetGapMs\":400}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","
              + "\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
              + "\"kvCapacityTokens\":401764,\"stride\":%d}}],\"limits\":{\"maxHeaderBytes\":16384,"
              + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
              + "\"tenants\":[{\"name\":\"senate\",\"apiKeys\":[\"key-1\"],\"priority\":1,"
              + "\"prepaid\":%d}]}")
          .formatted(TOKENS_PER_EVENT, PREPAID);

  private final RunRecord record;
  private final StandinCaller caller;
  private final AtomicLong consumed = new AtomicLong();

  private TotalSpentTwice(RunRecord record) {
    this.record = record;
    this.caller = new StandinCaller(record);
  }

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    String variant = System.getenv().getOrDefault("TROUBLE", "1");
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      code = new TotalSpentTwice(record).play(repository, variant) ? 1 : 0;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  /**
   * Plays the case; returns whether the rule was broken.
   *
   * @param variant 0 without the drill, "drill" with it, but without the machine that is turned away
   */
  private boolean play(Path repository, String variant) throws Exception {
    boolean drill = !variant.equals("0");
    boolean turnsAway = drill && !variant.equals("drill");
    Path directory = Files.createTempDirectory("review");
    List<EdgeInstance> edges = new ArrayList<>();
    List<InetSocketAddress> stores = new ArrayList<>();
    List<StandinReplica> replicas = new ArrayList<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(EdgeInstance::kill)));
    try (StandinStore store = new StandinStore(record)) {
      store.put("keyed.op", "config", CONFIGURATION);
      for (int i = 1; i <= 2; i++) {
        StandinReplica replica =
            new StandinReplica("i-" + i, "llm", 64, store, record, TotalSpentTwice::stream);
        replica.register();
        replicas.add(replica);
      }
      for (int i = 1; i <= MACHINES; i++) {
        stores.add(store.open());
        edges.add(new EdgeInstance(i, repository, directory, stores.get(i - 1), record));
        edges.get(i - 1).start();
      }
      for (EdgeInstance edge : edges) {
        edge.awaitReady();
      }
      // All machines have been there for a while when the callers come.
      StandinReplica.sleep(12_000);
      store.copy();
      StandinReplica.sleep(COPY_AGE_MILLIS);
      sendTogether(edges.get(0));
      if (drill) {
        store.goAway();
        StandinReplica.sleep(AWAY_MILLIS);
        if (turnsAway) {
          store.turnAway(stores.get(0), true);
        }
        store.comeBack();
        store.put("keyed.op", "config", CONFIGURATION);
        replicas.forEach(StandinReplica::writeEntry);
      } else {
        StandinReplica.sleep(AWAY_MILLIS);
      }
      long backNanos = System.nanoTime();
      StandinReplica.sleep(2_500);
      send(edges.get(1), "meanwhile", SENT_MEANWHILE);
      long passedMillis = (System.nanoTime() - backNanos) / 1_000_000;
      StandinReplica.sleep(Math.max(0, TURNED_AWAY_MILLIS - passedMillis));
      if (turnsAway) {
        store.turnAway(stores.get(0), false);
      }
      StandinReplica.sleep(4_000);
      send(edges.get(0), "last-a", SENT_LAST);
      send(edges.get(2), "last-c", SENT_LAST);
      for (EdgeInstance edge : edges) {
        record.line("log of %s:%n%s", edge.name(), spendLines(edge.log()));
      }
    } finally {
      edges.forEach(EdgeInstance::close);
      for (StandinReplica replica : replicas) {
        replica.close();
      }
    }
    boolean broken = consumed.get() > PREPAID;
    record.result(
        "BUDGET %s: the tenant got %d tokens of %d prepaid",
        broken ? "broken" : "held", consumed.get(), PREPAID);
    return broken;
  }

  private static String spendLines(String log) {
    return String.join(
        "\n",
        log.lines()
            .filter(line -> line.matches(".*(token|claim|store_|loan|borrow|grant|spend).*"))
            .filter(line -> !line.contains("event=send ") && !line.contains("event=request "))
            .limit(400)
            .toList());
  }

  /** Lets several callers send requests to a machine at the same time. */
  private void sendTogether(EdgeInstance edge) throws InterruptedException {
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < SENDERS_FIRST; i++) {
      String prefix = "first-" + i;
      Thread sender = new Thread(() -> send(edge, prefix, SENT_FIRST));
      sender.start();
      senders.add(sender);
    }
    for (Thread sender : senders) {
      sender.join();
    }
  }

  /** Sends requests one after the other, and counts the tokens that the tenant gets. */
  private void send(EdgeInstance edge, String prefix, int count) {
    String headers =
        "Snipeloom-Model: m\r\nSnipeloom-Token-Counts: %d,%d\r\n".formatted(
                INPUT_TOKENS, MAX_OUTPUT_TOKENS)
            + "Snipeloom-Deadline-Ms: 8000\r\nSnipeloom-Credential: key-1\r\n";
    for (int i = 0; i < count; i++) {
      StandinCaller.Answer answer =
          caller.send(
              edge.callers(),
              prefix + "-" + i,
              "POST",
              "/draft/" + i,
              headers + "Snipeloom-Prompt-Prefix: a%d:%d\r\n".formatted(i, INPUT_TOKENS));
      if (answer.events() > 0) {
        consumed.addAndGet(INPUT_TOKENS + (long) answer.events() * TOKENS_PER_EVENT);
      }
      StandinReplica.sleep(GAP_MILLIS);
    }
    record.line("tokens so far: %d", consumed.get());
  }

  private static void stream(
      StandinReplica replica, Http request, String common, java.io.OutputStream out)
      throws IOException {
    StandinReplica.write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + common
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int last = Integer.parseInt("0" + request.header("last-event-id"));
    for (int i = last + 1; i <= EVENTS; i++) {
      StandinReplica.sleep(EVENT_MILLIS);
      String event = "id: " + i + "\ndata: tokens of " + i + "\n\n";
      StandinReplica.write(
          out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    StandinReplica.write(out, "0\r\n\r\n");
  }
}
