import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All replicas of a service crash at once and are back after some seconds, while callers of one
 * tenant read the same status page. Exits with 1 if, long after that, requests on the route of the
 * page, which was added later, are served less than a quarter as often as those on the first one.
 */
final class RefusedAfterOutage {
  private static final int REPLICAS = 3;
  private static final long WORK_MILLIS = 21;
  private static final int STATUS_READERS = 36;
  private static final long READER_PAUSE_MILLIS = 20;

  /** How long a reader waits after an answer that is no page. */
  private static final long FAILED_PAUSE_MILLIS = 200;

  private static final long VOTE_PERIOD_MILLIS = 100;
  private static final long BEFORE_MILLIS = 5_000;
  private static final long DOWN_MILLIS = 3_000;

  /** From the return of the replicas until requests count: several times stableMs (3,000). */
  private static final long SETTLE_MILLIS = 12_000;

  private static final long COUNTED_MILLIS = 20_000;
  private static final int LEAST_REQUESTS = 20;
  private static final double LEAST_SHARE = 0.25;

  private static final String VOTE_ROUTE = route("r-vote", "/vote/", "non_idempotent", 1);
  private static final String STATUS_ROUTE = route("r-status", "/status/", "idempotent", 2);

  private final Record record;
  private final List<Edge> edges = new ArrayList<>();
  private final Count votes = new Count();
  private final Count pages = new Count();
  private volatile boolean counting;

  /** The requests on one route while they count. */
  private static final class Count {
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final Map<Integer, Integer> statuses = new TreeMap<>();

    synchronized void add(int status) {
      sent.incrementAndGet();
      if (status == 200) {
        served.incrementAndGet();
      }
      statuses.merge(status, 1, Integer::sum);
    }

    double share() {
      return (double) served.get() / Math.max(1, sent.get());
    }

    @Override
    public synchronized String toString() {
      return "%d of %d served, statuses %s".formatted(served.get(), sent.get(), statuses);
    }
  }

  private RefusedAfterOutage(Record record) {
    this.record = record;
  }

  private static String route(String name, String prefix, String type, int attempts) {
    return """
        {"name":"%s","host":"h.example","pathPrefix":"%s","type":"%s","timeoutMs":600,
         "targetLatencyMs":121,"priority":2,"service":"desk","maxAttempts":%d,"anonymous":false,
         "sessionAffinity":false,"streamResume":false}
        """
        .formatted(name, prefix, type, attempts);
  }

  private static String configuration(int version, String... routes) {
    return """
        {"version":%d,"routes":[%s],
         "services":[{"name":"desk","healthPath":"/healthz","maxConnections":96,"protocol":"h1",
         "tls":false}],
         "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
         "idleTimeoutMs":15000},
         "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}
        """
        .formatted(version, String.join(",", routes));
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review-3-");
    int exit = 2;
    try (Record record = new Record(Path.of(args[1], "record.txt"))) {
      RefusedAfterOutage play = new RefusedAfterOutage(record);
      try {
        exit = play.run(Path.of(args[0]), temporary, trouble);
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

  private int run(Path repository, Path temporary, boolean trouble)
      throws IOException, InterruptedException {
    Store store = Store.start();
    store.put("keyed.op", "config", configuration(7, VOTE_ROUTE));
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      Replica replica =
          new Replica("i-7f3a91c" + i, "desk", store, record, RefusedAfterOutage::answer);
      replica.start("1", 0);
      replicas.add(replica);
    }
    for (String name : List.of("edge-dar-a-1", "edge-dar-b-1")) {
      Edge edge = new Edge(name, repository, temporary, store);
      edges.add(edge);
      edge.start();
    }
    for (Edge edge : edges) {
      edge.awaitReady();
    }
    store.put("keyed.op", "config", configuration(8, VOTE_ROUTE, STATUS_ROUTE));
    record.line("the configuration adds the route /status/");
    Thread.sleep(4_000);
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    ExecutorService callers = Executors.newCachedThreadPool();
    for (int i = 0; i < STATUS_READERS; i++) {
      int edge = i % edges.size();
      callers.execute(() -> readPages(edge));
    }
    timer.scheduleAtFixedRate(
        () -> callers.execute(this::vote), 0, VOTE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    Thread.sleep(BEFORE_MILLIS);
    if (trouble) {
      for (Replica replica : replicas) {
        replica.crash();
      }
      Thread.sleep(DOWN_MILLIS);
      for (Replica replica : replicas) {
        replica.start("1", 0);
      }
    }
    Thread.sleep(SETTLE_MILLIS);
    counting = true;
    Thread.sleep(COUNTED_MILLIS);
    counting = false;
    timer.shutdownNow();
    callers.shutdownNow();
    Thread.sleep(1_500);
    String result = "first route: %s; route added later: %s".formatted(votes, pages);
    record.line("%s", result);
    System.out.println(result);
    boolean enough = pages.sent.get() >= LEAST_REQUESTS && votes.sent.get() >= LEAST_REQUESTS;
    boolean broken = pages.share() < LEAST_SHARE * votes.share();
    return enough ? (broken ? 1 : 0) : 2;
  }

  /** A sound replica of a plain service. */
  private static boolean answer(Replica.Boot boot, Replica.Request request, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(WORK_MILLIS);
    Replica.head(
        out,
        200,
        "Snipeloom-Replica-Signature: s\r\nSnipeloom-Replica-Load: 1,0,64\r\n"
            + "Content-Length: 2\r\n",
        request);
    Replica.write(out, "ok");
    return true;
  }

  /** One of the callers who look at the same page again and again. */
  private void readPages(int edge) {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        int status = send(edge, "GET /status/board", "", pages);
        Thread.sleep(status == 200 ? READER_PAUSE_MILLIS : FAILED_PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void vote() {
    send(0, "POST /vote/seal", UUID.randomUUID().toString(), votes);
  }

  private int send(int edge, String target, String body, Count count) {
    boolean counts = counting;
    String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    String head =
        "%s HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: %s\r\nSnipeloom-Deadline-Ms: 600\r\n"
                .formatted(target, id)
            + "Snipeloom-Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: %d\r\n\r\n"
                .formatted(body.length());
    Caller.Answer answer = new Caller.Answer();
    try (Caller caller = new Caller(edges.get(edge).port, 1_500)) {
      answer = caller.send(head, body.getBytes(), text -> {});
    } catch (IOException e) {
      record.line("%s %s: %s", target, id, e);
    }
    record.line(
        "%s %s gets %d retry-after '%s'", target, id, answer.status, answer.header("Retry-After"));
    if (counts) {
      count.add(answer.status);
    }
    return answer.status;
  }
}
