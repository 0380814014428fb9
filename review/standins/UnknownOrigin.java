import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * One instance of four is partitioned from the store while the first replica of a new software
 * version starts. Then its process is killed, and its requesters take their streams up at the other
 * instances, which are in touch. LOST: of 12 or more such streams, the share that goes on must not
 * be under half of the share of new streams that begin.
 */
public final class UnknownOrigin {
  private static final int LEAST_STREAMS = 12;
  private static final double STABLE_SECONDS = 3;

  public static void main(String[] args) {
    Deployment.exitAfter(Path.of(args[0]), UnknownOrigin::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    Record record = deployment.record;
    String trouble = System.getenv().getOrDefault("TROUBLE", "1");
    boolean cuts = !trouble.equals("0") && !trouble.equals("kill");
    boolean kills = !trouble.equals("0") && !trouble.equals("cut");
    Link link = new Link(deployment.store.port());
    List<Edge> entries = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      entries.add(
          deployment.addEdge(
              "edge-dar-%c-1".formatted('a' + i - 1), "dar-a", deployment.store.port()));
    }
    Edge cutOff = deployment.addEdge("edge-dar-c-2", "dar-c", link.port());
    entries.add(cutOff);
    for (int i = 1; i <= 6; i++) {
      Replica replica = new Replica("i-old-" + i, "pool", "v1", deployment.store, record);
      replica.eventMillis = 150;
      replica.register();
    }
    deployment.configure(7, 10_000_000);
    deployment.startAll();
    Queue<List<Caller.Answer>> streams = new ConcurrentLinkedQueue<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    Random random = new Random();
    double begin = record.seconds();
    Replica fresh = new Replica("i-new-1", "pool", "v2", deployment.store, record);
    fresh.eventMillis = 150;
    boolean cut = false;
    boolean registered = false;
    boolean killed = false;
    for (int i = 0; record.seconds() < begin + 14; i++) {
      int number = i;
      Edge entry = entries.get(number % entries.size());
      Edge next = entries.get(random.nextInt(entries.size() - 1));
      if (!killed || entry != cutOff) {
        callers.execute(() -> streams.add(stream(number, entry, next, record)));
      }
      Thread.sleep(50);
      double at = record.seconds() - begin;
      if (!cut && at > 8) {
        cut = true;
        if (cuts) {
          link.cut();
          record.tell("from %.3f s on %s is cut off from the store", record.seconds(), cutOff.name);
        }
      }
      if (!registered && at > 8.5) {
        registered = true;
        fresh.register();
      }
      if (!killed && at > 11) {
        if (kills) {
          killed = true;
          cutOff.kill();
          record.tell("at %.3f s the process of %s is killed", record.seconds(), cutOff.name);
        }
      }
    }
    callers.shutdown();
    callers.awaitTermination(20, TimeUnit.SECONDS);
    int fresher = 0;
    int began = 0;
    int resumed = 0;
    int wentOn = 0;
    for (List<Caller.Answer> tries : streams) {
      Caller.Answer first = tries.get(0);
      if (first.sentSeconds > begin + STABLE_SECONDS && !tries.get(0).events.isEmpty()) {
        began++;
      }
      if (first.sentSeconds > begin + STABLE_SECONDS) {
        fresher++;
      }
      if (tries.size() > 1) {
        resumed++;
        wentOn += tries.subList(1, tries.size()).stream().anyMatch(a -> !a.events.isEmpty()) ? 1 : 0;
      }
    }
    record.tell("%d new streams, %d of them began", fresher, began);
    record.tell("LOST: %d streams were taken up again, %d of them went on", resumed, wentOn);
    boolean counts = resumed >= LEAST_STREAMS;
    double newShare = (double) began / Math.max(1, fresher);
    return !counts || (double) wentOn / resumed >= newShare / 2;
  }

  /** Sends a stream. If its channel breaks, takes it up at another instance, at most three times. */
  private static List<Caller.Answer> stream(int number, Edge entry, Edge next, Record record) {
    List<Caller.Answer> tries = new ArrayList<>();
    String headers =
        "Snipeloom-Credential: key\r\nSnipeloom-Model: m\r\nSnipeloom-Token-Counts: 1460,200\r\n"
            + "Snipeloom-Prompt-Prefix: %x:800,%x:660\r\n".formatted(0x5c1e07a2, 0x1000 + number);
    String attempt = Caller.newAttempt("stream");
    Caller.Answer answer = Caller.send(entry, "/draft/2f", attempt, headers, record);
    tries.add(answer);
    if (answer.status != 200 || answer.whole || answer.lastEvent == 0) {
      return tries;
    }
    String more =
        headers + "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(answer.lastEvent, attempt);
    for (int i = 0; i < 3; i++) {
      Caller.Answer again =
          Caller.send(next, "/draft/2f", Caller.newAttempt("again"), more, record);
      tries.add(again);
      if (again.status != 503) {
        return tries;
      }
      Replica.sleep((long) (1_000 * again.retryAfterSeconds));
    }
    return tries;
  }
}
