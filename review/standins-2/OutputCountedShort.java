import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 10: while streams run, the operator writes a version that moves their route to another
 * service and no longer names the service before. Judges whether the tenant gets more than its
 * prepaid total.
 */
final class OutputCountedShort {
  private static final long PREPAID = 60_000;
  private static final int TOKENS_PER_EVENT = 3;
  private static final int MACHINES = 2;
  private static final int STREAMS = 24;
  private static final int STREAM_INPUT = 500;
  private static final int STREAM_EVENTS = 200;
  private static final long STREAM_EVENT_MILLIS = 15;
  private static final long CHANGE_AFTER_MILLIS = 800;
  private static final int LATER_EVENTS = 20;
  private static final int MOST_LATER = 400;
  private static final int MOST_REFUSED = 12;

  private final RunRecord record;
  private final StandinCaller caller;
  private final AtomicLong consumed = new AtomicLong();

  private OutputCountedShort(RunRecord record) {
    this.record = record;
    this.caller = new StandinCaller(record);
  }

  public static void main(String[] arguments) {
    Path repository = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      code = new OutputCountedShort(record).play(repository, trouble) ? 1 : 0;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  private static String configuration(int version, String service) {
    return ("{\"version\":%d,\"routes\":[{\"name\":\"r-draft\",\"host\":\"desk.example\","
            + "\"pathPrefix\":\"/draft/\",\"type\":\"streaming\",\"timeoutMs\":8000,"
            + "\"targetLatencyMs\":600,\"priority\":0,\"service\":\"%s\",\"maxAttempts\":2,"
            + "\"anonymous\":false,\"sessionAffinity\":true,\"streamResume\":true,"
            + "\"targetGapMs\":400}],\"services\":[{\"name\":\"%s\",\"healthPath\":\"/healthz\","
            + "\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
            + "\"kvCapacityTokens\":401764,\"stride\":%d}}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"senate\",\"apiKeys\":[\"key-1\"],\"priority\":1,"
            + "\"prepaid\":%d}]}")
        .formatted(version, service, service, TOKENS_PER_EVENT, PREPAID);
  }

  /** Plays the case; returns whether the rule was broken. */
  private boolean play(Path repository, boolean trouble) throws Exception {
    Path directory = Files.createTempDirectory("review");
    List<EdgeInstance> edges = new ArrayList<>();
    List<StandinReplica> replicas = new ArrayList<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(EdgeInstance::kill)));
    try (StandinStore store = new StandinStore(record)) {
      store.put("keyed.op", "config", configuration(7, "llm-a"));
      for (String service : List.of("llm-a", "llm-b")) {
        StandinReplica replica =
            new StandinReplica(
                "i-" + service, service, 64, store, record, OutputCountedShort::stream);
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
      StandinReplica.sleep(8_000);
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        int number = i;
        EdgeInstance edge = edges.get(i % MACHINES);
        Thread one =
            new Thread(() -> send(edge, "stream-" + number, STREAM_INPUT, STREAM_EVENTS));
        one.start();
        callers.add(one);
        StandinReplica.sleep(20);
      }
      StandinReplica.sleep(CHANGE_AFTER_MILLIS);
      if (trouble) {
        store.put("keyed.op", "config", configuration(9, "llm-b"));
        record.line("store: version 9 acknowledged, the route leads to llm-b");
      }
      for (Thread one : callers) {
        one.join();
      }
      record.line("tokens so far: %d", consumed.get());
      StandinReplica.sleep(3_000);
      sendUntilRefused(edges, 500);
      StandinReplica.sleep(2_000);
      sendUntilRefused(edges, 60);
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

  private void sendUntilRefused(List<EdgeInstance> edges, int input) {
    int refused = 0;
    for (int i = 0; i < MOST_LATER && refused < MOST_REFUSED; i++) {
      EdgeInstance edge = edges.get(i % MACHINES);
      refused = send(edge, "later-" + input + "-" + i, input, LATER_EVENTS) == 200 ? 0 : refused + 1;
    }
    record.line("tokens so far: %d", consumed.get());
  }

  private static String spendLines(String log) {
    return String.join(
        "\n",
        log.lines()
            .filter(line -> line.matches(".*event=(tokens|configuration|request ).*"))
            .limit(300)
            .toList());
  }

  /** Sends a request, counts the tokens that the tenant gets, and returns the status. */
  private int send(EdgeInstance edge, String attempt, int input, int events) {
    StandinCaller.Answer answer =
        caller.send(
            edge.callers(),
            attempt,
            "POST",
            "/draft/" + events,
            ("Snipeloom-Model: m\r\nSnipeloom-Token-Counts: %d,%d\r\n"
                    + "Snipeloom-Prompt-Prefix: a%x:%d\r\nSnipeloom-Deadline-Ms: 8000\r\n"
                    + "Snipeloom-Credential: key-1\r\n")
                .formatted(input, events * TOKENS_PER_EVENT, attempt.hashCode(), input));
    if (answer.events() > 0) {
      consumed.addAndGet(input + (long) answer.events() * TOKENS_PER_EVENT);
    }
    return answer.status();
  }

  /** Writes as many events as the path says. */
  private static void stream(
      StandinReplica replica, Http request, String common, OutputStream out) throws IOException {
    StandinReplica.write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + common
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    String path = request.startLine().split(" ")[1];
    int events = Integer.parseInt(path.substring("/draft/".length()));
    int last = Integer.parseInt("0" + request.header("last-event-id"));
    for (int i = last + 1; i <= events; i++) {
      StandinReplica.sleep(events == STREAM_EVENTS ? STREAM_EVENT_MILLIS : 1);
      String event = "id: " + i + "\ndata: tokens of " + i + "\n\n";
      StandinReplica.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    StandinReplica.write(out, "0\r\n\r\n");
  }
}
