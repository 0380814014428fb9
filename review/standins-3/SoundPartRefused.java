import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * After a quiet minute a few requests come whose prompts hold a part that crashes replicas, and
 * sound ones that share their first part with them. Exits with 1 if sound requests begin less than
 * half as often afterwards as before.
 */
final class SoundPartRefused {
  private static final int INSTANCES = 8;
  private static final int REPLICAS = 6;
  private static final int BASELINE = 24;
  private static final int AFTERWARDS = 24;
  private static final long QUIET_MILLIS = 61_500;
  private static final long PREFILL_MILLIS = 500;
  private static final long FIRST_PREFILL_MILLIS = 100;
  private static final long DOWN_MILLIS = 2_000;
  private static final long CRASH_PERIOD_MILLIS = 3_000;

  /** How long after a crashing request the sound ones are sent. */
  private static final long BESIDE_MILLIS = 250;

  /** Twice stableMs. */
  private static final long SETTLE_MILLIS = 6_000;

  private static final int EVENTS = 5;
  private static final String SHARED = "5c1e07a2:13300";
  private static final String CRASHING = "bad07a11:800";
  private static final String HARMLESS = "91bd3f06:800";

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"r-draft","host":"h.example","pathPrefix":"/draft/",
       "type":"streaming","timeoutMs":5000,"targetLatencyMs":500,"priority":0,"service":"llm",
       "maxAttempts":1,"anonymous":false,"sessionAffinity":true,"streamResume":false,
       "targetGapMs":400}],
       "services":[{"name":"llm","healthPath":"/healthz","maxConnections":360,"protocol":"h1",
       "tls":false,"engine":{"slots":64,"kvCapacityTokens":401764,"kvTokenBytes":327680,
       "linkMbps":250000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,
       "holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
       "idleTimeoutMs":15000},
       "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}
      """;

  private final Record record;
  private final boolean trouble;
  private final List<Edge> edges = new ArrayList<>();
  private final Map<String, Replica> replicas = new ConcurrentHashMap<>();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private volatile long prefillMillis = FIRST_PREFILL_MILLIS;

  private SoundPartRefused(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review-3-");
    int exit = 2;
    try (Record record = new Record(Path.of(args[1], "record.txt"))) {
      SoundPartRefused play = new SoundPartRefused(record, trouble);
      try {
        exit = play.run(Path.of(args[0]), temporary);
        record.line("exit %d", exit);
      } finally {
        for (Edge edge : play.edges) {
          edge.close();
        }
      }
    } catch (IOException | InterruptedException e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private int run(Path repository, Path temporary) throws IOException, InterruptedException {
    Store store = Store.start();
    store.put("keyed.op", "config", CONFIGURATION);
    for (int i = 0; i < REPLICAS; i++) {
      Replica replica = new Replica("i-7f3a91c" + i, "llm", store, record, this::answer);
      replicas.put(replica.id, replica);
      replica.start("1", 0);
    }
    for (int i = 1; i <= INSTANCES; i++) {
      Edge edge = new Edge("edge-dar-" + i, repository, temporary, store);
      edges.add(edge);
      edge.start();
    }
    for (Edge edge : edges) {
      edge.awaitReady();
    }
    Thread.sleep(5_500);
    ExecutorService callers = Executors.newCachedThreadPool();
    AtomicInteger before = new AtomicInteger();
    for (int i = 0; i < BASELINE; i++) {
      int edge = i % edges.size();
      callers.execute(() -> count(edge, before));
      Thread.sleep(100);
    }
    Thread.sleep(QUIET_MILLIS);

    for (int i = 0; i < 3; i++) {
      callers.execute(() -> send(1, true));
      Thread.sleep(CRASH_PERIOD_MILLIS);
    }
    prefillMillis = PREFILL_MILLIS;
    crashBesideSoundOnes(callers);
    Thread.sleep(CRASH_PERIOD_MILLIS - BESIDE_MILLIS);
    crashBesideSoundOnes(callers);
    Thread.sleep(1_000);
    prefillMillis = FIRST_PREFILL_MILLIS;
    Thread.sleep(SETTLE_MILLIS);

    AtomicInteger after = new AtomicInteger();
    for (int i = 0; i < AFTERWARDS; i++) {
      int edge = i % edges.size();
      callers.execute(() -> count(edge, after));
      if (i % 5 == 0) {
        callers.execute(() -> send(edge, true));
      }
      Thread.sleep(300);
    }
    Thread.sleep(1_500);
    callers.shutdownNow();
    String result =
        "%d crashes; sound requests begun: %d of %d before, %d of %d afterwards"
            .formatted(crashes.get(), before.get(), BASELINE, after.get(), AFTERWARDS);
    record.line("%s", result);
    System.out.println(result);
    for (Edge edge : edges) {
      for (String line : edge.log("event=convict")) {
        record.line("log of %s: %s", edge.name, line);
      }
    }
    double shareBefore = (double) before.get() / BASELINE;
    double shareAfter = (double) after.get() / AFTERWARDS;
    return shareAfter < shareBefore / 2 ? 1 : 0;
  }

  /** Sends a crashing request, and a sound one at each other instance while it is read. */
  private void crashBesideSoundOnes(ExecutorService callers) throws InterruptedException {
    callers.execute(() -> send(1, true));
    Thread.sleep(BESIDE_MILLIS);
    for (int i = 0; i < INSTANCES; i++) {
      int edge = i;
      if (edge != 1) {
        callers.execute(() -> send(edge, false));
      }
    }
  }

  private void count(int edge, AtomicInteger begun) {
    if (send(edge, false)) {
      begun.incrementAndGet();
    }
  }

  /** Sends a request with a body and a last part of its own; returns whether its stream began. */
  private boolean send(int edge, boolean crashing) {
    int number = requests.incrementAndGet();
    String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    String second = crashing ? "," + (trouble ? CRASHING : HARMLESS) : "";
    String body = "{\"n\":%d}".formatted(number);
    String head =
        "POST /draft/%d HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: %s\r\n"
                .formatted(number, id)
            + "Snipeloom-Model: m\r\nSnipeloom-Token-Counts: 15000,50\r\n"
            + "Snipeloom-Prompt-Prefix: %s%s,%x:900\r\n".formatted(SHARED, second, 0xff00 + number)
            + "Snipeloom-Deadline-Ms: 5000\r\nSnipeloom-Credential: n2ctnfzs989anu6wsjnb\r\n"
            + "Content-Length: %d\r\n\r\n".formatted(body.length());
    StringBuilder events = new StringBuilder();
    Caller.Answer answer = new Caller.Answer();
    try (Caller caller = new Caller(edges.get(edge).port, 5_500)) {
      answer = caller.send(head, body.getBytes(), events::append);
    } catch (IOException e) {
      record.line("request %s: %s", id, e);
    }
    boolean begun = answer.status == 200 && events.indexOf("\n\n") >= 0;
    record.line(
        "%s request %s at %s gets %d, begun %b, retry-after '%s' %s",
        crashing ? "crashing" : "sound",
        id,
        edges.get(edge).name,
        answer.status,
        begun,
        answer.header("Retry-After"),
        answer.status == 503 ? answer.body : "");
    return begun;
  }

  /** A replica that reads the prompt, and crashes when it begins to write on the crashing part. */
  private boolean answer(Replica.Boot boot, Replica.Request request, OutputStream out)
      throws IOException, InterruptedException {
    record.line("request %s reaches %s", request.attempt(), boot.replica());
    Thread.sleep(prefillMillis);
    if (request.header("Snipeloom-Prompt-Prefix").contains(CRASHING)) {
      crashes.incrementAndGet();
      Replica replica = replicas.get(boot.replica());
      Replica.daemon(() -> crash(replica));
      return false;
    }
    Replica.head(
        out,
        200,
        "Snipeloom-Replica-Signature: s\r\nSnipeloom-Replica-Load: 1,0,64\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        request);
    for (int event = 1; event <= EVENTS; event++) {
      Replica.chunk(out, "id: %d\ndata: x\n\n".formatted(event));
      Thread.sleep(100);
    }
    Replica.write(out, "0\r\n\r\n");
    return true;
  }

  private void crash(Replica replica) {
    try {
      replica.crash();
      Thread.sleep(DOWN_MILLIS);
      replica.start("1", 0);
    } catch (IOException e) {
      record.line("%s: %s", replica.id, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
