import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A replica crashes in the middle of streams and starts again under its id with the next version of
 * its software. Callers take up their streams. Exits with 1 if more than two streams hold events of
 * two versions.
 */
final class RestartedUnderItsId {
  private static final int STREAMS = 48;
  private static final int EVENTS = 50;
  private static final long EVENT_MILLIS = 100;
  private static final long CRASH_MILLIS = 2_000;
  private static final long DOWN_MILLIS = 500;

  /** When the new boot writes its first entry after its start; within one heartbeat. */
  private static final long REGISTERS_MILLIS = 1_000;

  private static final int MOST_MIXED_STREAMS = 2;
  private static final int TRIES = 4;
  private static final long LIMIT_MILLIS = 12_000;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"r-draft","host":"h.example","pathPrefix":"/draft/",
       "type":"streaming","timeoutMs":12000,"targetLatencyMs":800,"priority":1,"service":"llm",
       "maxAttempts":2,"anonymous":false,"sessionAffinity":true,"streamResume":true,
       "targetGapMs":300}],
       "services":[{"name":"llm","healthPath":"/healthz","maxConnections":360,"protocol":"h1",
       "tls":false,"engine":{"slots":64,"kvCapacityTokens":557793,"kvTokenBytes":327680,
       "linkMbps":250000.0,"moves":true,"backups":true,"stride":3,"most":12,"pinMs":4000.0,
       "holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
       "idleTimeoutMs":15000},
       "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,
       "prepaid":47217750}]}
      """;

  private RestartedUnderItsId() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review-3-");
    List<AutoCloseable> open = new ArrayList<>();
    int exit = 2;
    try (Record record = new Record(Path.of(args[1], "record.txt"))) {
      exit = play(Path.of(args[0]), temporary, record, open, trouble);
      record.line("exit %d", exit);
    } catch (IOException | InterruptedException e) {
      e.printStackTrace();
    } finally {
      for (AutoCloseable one : open) {
        one.close();
      }
    }
    System.exit(exit);
  }

  private static int play(
      Path repository,
      Path temporary,
      Record record,
      List<AutoCloseable> open,
      boolean trouble)
      throws IOException, InterruptedException {
    Store store = Store.start();
    open.add(store::stop);
    store.put("keyed.op", "config", CONFIGURATION);
    Replica old = new Replica("i-7f3a91c2", "llm", store, record, RestartedUnderItsId::stream);
    old.start("v1", 0);
    for (String id : List.of("i-02bb61d9", "i-5c40e7a8", "i-e19d3b06")) {
      new Replica(id, "llm", store, record, RestartedUnderItsId::stream).start("v2", 0);
    }
    List<Edge> edges = new ArrayList<>();
    for (String name : List.of("edge-dar-a-1", "edge-dar-b-1")) {
      Edge edge = new Edge(name, repository, temporary, store);
      open.add(edge);
      edge.start();
      edges.add(edge);
    }
    for (Edge edge : edges) {
      edge.awaitReady();
    }
    Thread.sleep(4_000);

    Set<String> mixed = ConcurrentHashMap.newKeySet();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      Thread caller = new Thread(() -> call(edges, number, record, mixed));
      caller.start();
      callers.add(caller);
      Thread.sleep(10);
    }
    Thread.sleep(CRASH_MILLIS);
    if (trouble) {
      old.crash();
      Thread.sleep(DOWN_MILLIS);
      old.start("v2", REGISTERS_MILLIS);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    record.line("%d of %d streams hold events of two versions", mixed.size(), STREAMS);
    System.out.printf("%d of %d streams hold events of two versions%n", mixed.size(), STREAMS);
    return mixed.size() > MOST_MIXED_STREAMS ? 1 : 0;
  }

  /** A sound replica: it begins after the event that the request names, and tells its version. */
  private static boolean stream(
      Replica.Boot boot, Replica.Request request, OutputStream out)
      throws IOException, InterruptedException {
    int last = Integer.parseInt("0" + request.header("Last-Event-Id"));
    Replica.head(
        out,
        200,
        "Snipeloom-Replica-Signature: s\r\nSnipeloom-Replica-Load: 1,0,64\r\n"
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        request);
    for (int event = last + 1; event <= EVENTS; event++) {
      Thread.sleep(EVENT_MILLIS);
      Replica.chunk(out, "id: %d\ndata: %s\n\n".formatted(event, boot.version));
    }
    Replica.write(out, "0\r\n\r\n");
    return true;
  }

  /** A requester: it takes up a stream that broke, a few times within its time limit. */
  private static void call(List<Edge> edges, int number, Record record, Set<String> mixed) {
    String first = "";
    String lastEvent = "";
    Set<String> versions = new TreeSet<>();
    long deadline = System.nanoTime() + LIMIT_MILLIS * 1_000_000;
    for (int attempt = 0; attempt < TRIES; attempt++) {
      String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
      long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
      if (leftMillis <= 0) {
        break;
      }
      StringBuilder head = new StringBuilder();
      head.append("POST /draft/%d HTTP/1.1\r\nHost: h.example\r\n".formatted(number));
      head.append("Snipeloom-Attempt-Id: %s\r\nSnipeloom-Model: m\r\n".formatted(id));
      head.append("Snipeloom-Token-Counts: 1000,200\r\n");
      head.append("Snipeloom-Prompt-Prefix: %x:1000\r\n".formatted(0xa00 + number));
      head.append("Snipeloom-Deadline-Ms: %d\r\n".formatted(leftMillis));
      head.append("Snipeloom-Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n");
      if (!lastEvent.isEmpty()) {
        head.append("Last-Event-Id: %s\r\nResumes: %s\r\n".formatted(lastEvent, first));
      }
      head.append("\r\n");
      record.line("stream %d sends %s after event '%s'", number, id, lastEvent);
      StringBuilder events = new StringBuilder();
      Caller.Answer answer = new Caller.Answer();
      int edge = (number + attempt) % edges.size();
      try (Caller caller = new Caller(edges.get(edge).port, 4_000)) {
        answer = caller.send(head.toString(), new byte[] {'{', '}'}, events::append);
      } catch (IOException e) {
        record.line("stream %d: %s", number, e);
      }
      if (answer.status == 200 && events.indexOf("\n\n") >= 0) {
        if (first.isEmpty()) {
          first = id;
        }
        String whole = events.substring(0, events.lastIndexOf("\n\n"));
        for (String event : whole.split("\n\n")) {
          lastEvent = event.substring(4, event.indexOf('\n'));
          versions.add(event.substring(event.indexOf("data: ") + 6));
        }
      }
      record.line(
          "stream %d gets %d complete=%b up to event '%s' retry-after '%s' versions %s",
          number,
          answer.status,
          answer.complete,
          lastEvent,
          answer.header("Retry-After"),
          versions);
      if (answer.status == 200 && answer.complete) {
        break;
      }
      long pauseMillis = ThreadLocalRandom.current().nextLong(50, 250);
      if (!answer.header("Retry-After").isEmpty()) {
        pauseMillis += (long) (1000 * Double.parseDouble(answer.header("Retry-After")));
      }
      try {
        Thread.sleep(Math.min(pauseMillis, Math.max(1, leftMillis / 3)));
      } catch (InterruptedException e) {
        return;
      }
    }
    if (versions.size() > 1) {
      mixed.add(first);
    }
  }
}
