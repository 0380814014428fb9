import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 10: a replica breaks off some of its answers shortly before their end and sends them again on
 * the same channel, in small pieces. Judges whether callers get a success whose body isn't the
 * replica's.
 */
final class CutAnswerLooksWhole {
  private static final int MACHINES = 2;
  private static final int REPLICAS = 3;
  private static final int CALLERS = 4;
  private static final int REQUESTS = 150;
  private static final int BODY_BYTES = 800;
  /** One answer in so many of the one replica that spoils answers; x is 0.03 on the site. */
  private static final int SPOILT_ONE_IN = 34;
  private static final int PIECE_BYTES = 8;
  private static final int PIECES_MISSING = 3;
  private static final long PIECE_MILLIS = 3;
  private static final long SECOND_AFTER_MILLIS = 40;
  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[{\"name\":\"r-look\",\"host\":\"desk.example\","
          + "\"pathPrefix\":\"/look/\",\"type\":\"idempotent\",\"timeoutMs\":2000,"
          + "\"targetLatencyMs\":300,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":2,"
          + "\"anonymous\":true,\"sessionAffinity\":false,\"streamResume\":false,"
          + "\"targetGapMs\":0}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\","
          + "\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
          + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
          + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

  private final RunRecord record;
  private final StandinCaller caller;
  private final boolean trouble;
  private final AtomicInteger ofFirst = new AtomicInteger();
  private final AtomicInteger spoilt = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final Map<String, String> wrong = new ConcurrentHashMap<>();

  private CutAnswerLooksWhole(RunRecord record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
    this.caller = new StandinCaller(record);
  }

  public static void main(String[] arguments) {
    Path repository = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      code = new CutAnswerLooksWhole(record, trouble).play(repository) ? 1 : 0;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  private boolean play(Path repository) throws Exception {
    Path directory = Files.createTempDirectory("review");
    List<EdgeInstance> edges = new ArrayList<>();
    List<StandinReplica> replicas = new ArrayList<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(EdgeInstance::kill)));
    try (StandinStore store = new StandinStore(record)) {
      store.put("keyed.op", "config", CONFIGURATION);
      for (int i = 1; i <= REPLICAS; i++) {
        StandinReplica replica = new StandinReplica("i-" + i, "desk", 6, store, record, this::look);
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
      StandinReplica.sleep(3_000);
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        EdgeInstance edge = edges.get(i % MACHINES);
        String prefix = "look-" + i + "-";
        Thread one = new Thread(() -> send(edge, prefix));
        one.start();
        callers.add(one);
      }
      for (Thread one : callers) {
        one.join();
      }
    } finally {
      edges.forEach(EdgeInstance::close);
      for (StandinReplica replica : replicas) {
        replica.close();
      }
    }
    wrong.forEach((attempt, body) -> record.line("%s got: %s", attempt, body));
    record.result(
        "MIXED %s: %d of %d requests were answered 200 with a body that isn't the replica's; one"
            + " replica spoilt %d of its %d answers",
        wrong.isEmpty() ? "held" : "broken", wrong.size(), sent.get(), spoilt.get(), ofFirst.get());
    return !wrong.isEmpty();
  }

  private void send(EdgeInstance edge, String prefix) {
    for (int i = 0; i < REQUESTS; i++) {
      String attempt = prefix + i;
      StandinCaller.Answer answer =
          caller.send(
              edge.callers(), attempt, "GET", "/look/" + attempt, "Snipeloom-Deadline-Ms: 1500\r\n");
      sent.incrementAndGet();
      if (answer.status() == 200 && answer.complete() && !answer.body().equals(body(attempt))) {
        wrong.put(attempt, answer.body());
      }
      StandinReplica.sleep(10);
    }
  }

  private static String body(String attempt) {
    return (attempt + ":").repeat(BODY_BYTES).substring(0, BODY_BYTES);
  }

  private void look(StandinReplica replica, Http request, String common, OutputStream out)
      throws IOException {
    String attempt = request.header("snipeloom-attempt-id");
    String answer =
        "HTTP/1.1 200 OK\r\n"
            + common
            + "Content-Length: "
            + BODY_BYTES
            + "\r\n\r\n"
            + body(attempt);
    boolean spoils = false;
    if (replica.id().equals("i-1")) {
      spoils = ofFirst.incrementAndGet() % SPOILT_ONE_IN == 0 && trouble;
    }
    if (!spoils) {
      StandinReplica.write(out, answer);
      return;
    }
    spoilt.incrementAndGet();
    record.line("replica %s: breaks off %s and sends it again", replica.id(), attempt);
    StandinReplica.write(
        out, answer.substring(0, answer.length() - PIECES_MISSING * PIECE_BYTES));
    StandinReplica.sleep(SECOND_AFTER_MILLIS);
    byte[] second = answer.getBytes(StandardCharsets.ISO_8859_1);
    for (int at = 0; at < second.length; at += PIECE_BYTES) {
      out.write(second, at, Math.min(PIECE_BYTES, second.length - at));
      out.flush();
      StandinReplica.sleep(PIECE_MILLIS);
    }
  }
}
