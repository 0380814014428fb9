import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant sends several times its usual number of requests, whose answers are long. Exits with 1
 * if more than three kept channels are closed without an answer after their request was passed on
 * to a sound replica.
 */
final class AnswersCutOff {
  /** The requests that the tenant has open at a time; the page's largest dose is 7.5 times it. */
  private static final int USUAL_CALLERS = 6;

  private static final double HOT_FACTOR = 7.5;
  private static final int ROUNDS = 6;
  private static final int ANSWER_BYTES = 500_000;
  private static final int PART_BYTES = 50_000;
  private static final long PART_MILLIS = 25;
  private static final int MOST_CLOSED = 3;
  private static final long LIMIT_MILLIS = 10_000;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"r-file","host":"h.example","pathPrefix":"/file/",
       "type":"non_idempotent","timeoutMs":10000,"targetLatencyMs":800,"priority":1,
       "service":"desk","maxAttempts":1,"anonymous":false,"sessionAffinity":false,
       "streamResume":false}],
       "services":[{"name":"desk","healthPath":"/healthz","maxConnections":96,"protocol":"h1",
       "tls":false}],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
       "idleTimeoutMs":15000},
       "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}
      """;

  private static final Map<String, String> ran = new ConcurrentHashMap<>();

  private final Record record;
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final Set<Integer> statuses = ConcurrentHashMap.newKeySet();

  private AnswersCutOff(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review-3-");
    int exit = 2;
    try (Record record = new Record(Path.of(args[1], "record.txt"))) {
      exit = new AnswersCutOff(record).run(Path.of(args[0]), temporary, trouble);
      record.line("exit %d", exit);
    } catch (IOException | InterruptedException e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private int run(Path repository, Path temporary, boolean trouble)
      throws IOException, InterruptedException {
    Store store = Store.start();
    store.put("keyed.op", "config", CONFIGURATION);
    for (int i = 0; i < 3; i++) {
      new Replica("i-7f3a91c" + i, "desk", store, record, AnswersCutOff::answer).start("1", 0);
    }
    try (Edge edge = new Edge("edge-dar-a-1", repository, temporary, store)) {
      edge.start();
      edge.awaitReady();
      Thread.sleep(3_000);
      int callers = trouble ? (int) (USUAL_CALLERS * HOT_FACTOR) : USUAL_CALLERS;
      for (int round = 0; round < ROUNDS; round++) {
        playRound(edge, callers);
      }
      String result =
          "%d requests answered, %d channels closed without an answer, ready %b"
              .formatted(answered.get(), closed.get(), edge.isReady());
      record.line("%s", result);
      System.out.println(result);
      return closed.get() > MOST_CLOSED ? 1 : 0;
    }
  }

  /** Each caller opens a channel, gets a short answer, and sends the next request on it. */
  private void playRound(Edge edge, int callers) throws InterruptedException {
    CountDownLatch start = new CountDownLatch(callers);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < callers; i++) {
      Thread thread = new Thread(() -> call(edge, start));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void call(Edge edge, CountDownLatch start) {
    try (Caller caller = new Caller(edge.port, (int) LIMIT_MILLIS)) {
      Caller.Answer first = send(caller, "/file/short");
      start.countDown();
      start.await();
      if (first.status != 200 || !first.complete) {
        return;
      }
      send(caller, "/file/long");
    } catch (IOException e) {
      record.line("no channel: %s", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Caller.Answer send(Caller caller, String path) {
    String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    String head =
        "POST %s HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: %s\r\n".formatted(path, id)
            + "Snipeloom-Deadline-Ms: %d\r\n".formatted(LIMIT_MILLIS)
            + "Snipeloom-Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\n";
    long beginNanos = System.nanoTime();
    Caller.Answer answer = caller.send(head, new byte[] {'{', '}'}, text -> {});
    long millis = (System.nanoTime() - beginNanos) / 1_000_000;
    boolean early = millis < LIMIT_MILLIS - 500;
    if (answer.status == 0 && early && ran.containsKey(id)) {
      closed.incrementAndGet();
    } else if (answer.status != 0) {
      answered.incrementAndGet();
    }
    record.line(
        "%s %s %s after %d ms, run by %s",
        path,
        id,
        answer.status == 0 ? "gets no answer, the channel is closed" : "gets " + answer.status,
        millis,
        ran.get(id));
    return answer;
  }

  /** A sound replica, which writes a long answer as it reads it from a disk. */
  private static boolean answer(Replica.Boot boot, Replica.Request request, OutputStream out)
      throws IOException, InterruptedException {
    ran.put(request.attempt(), boot.replica());
    int bytes = request.line.contains("long") ? ANSWER_BYTES : 100;
    Replica.head(
        out,
        200,
        "Snipeloom-Replica-Signature: s\r\nContent-Length: %d\r\n".formatted(bytes),
        request);
    for (int sent = 0; sent < bytes; sent += PART_BYTES) {
      Replica.write(out, "x".repeat(Math.min(PART_BYTES, bytes - sent)));
      Thread.sleep(PART_MILLIS);
    }
    return true;
  }
}
