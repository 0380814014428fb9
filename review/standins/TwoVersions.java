import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The store gives one instance of four no answer, and serves the others. Two replicas of a new
 * software version start, get streams from the others, and crash. The requesters take their streams
 * up at another instance, some at the one that the store does not answer. ORDER: not more than two
 * streams may hold events of two versions.
 */
public final class TwoVersions {
  private static final int MOST_MIXED = 2;

  public static void main(String[] args) {
    Deployment.exitAfter(Path.of(args[0]), TwoVersions::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    Record record = deployment.record;
    String trouble = System.getenv().getOrDefault("TROUBLE", "1");
    boolean cuts = !trouble.equals("0") && !trouble.equals("crash");
    boolean crashes = !trouble.equals("0") && !trouble.equals("cut");
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
      replica.eventMillis = 100;
      replica.register();
    }
    deployment.configure(7, 10_000_000);
    deployment.startAll();
    Queue<List<Caller.Answer>> streams = new ConcurrentLinkedQueue<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    double begin = record.seconds();
    List<Replica> fresh = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      Replica replica = new Replica("i-new-" + i, "pool", "v2", deployment.store, record);
      replica.eventMillis = 100;
      fresh.add(replica);
    }
    Random random = new Random();
    boolean cut = false;
    boolean registered = false;
    boolean crashed = false;
    for (int i = 0; record.seconds() < begin + 14; i++) {
      int number = i;
      Edge entry = entries.get(number % entries.size());
      Edge next = entries.get((number + 1 + random.nextInt(entries.size() - 1)) % entries.size());
      callers.execute(() -> streams.add(stream(number, entry, next, record)));
      Thread.sleep(25);
      double at = record.seconds() - begin;
      if (!cut && at > 8) {
        cut = true;
        if (cuts) {
          link.cut();
          record.tell("from %.3f s on the store gives %s no answer", record.seconds(), cutOff.name);
        }
      }
      if (!registered && at > 8.1) {
        registered = true;
        fresh.forEach(Replica::register);
      }
      if (!crashed && at > 9.3) {
        crashed = true;
        if (crashes) {
          for (Replica replica : fresh) {
            replica.crash();
          }
          record.tell("at %.3f s the replicas of version v2 crash", record.seconds());
        }
      }
      if (at > 12) {
        link.heal();
      }
    }
    callers.shutdown();
    callers.awaitTermination(10, TimeUnit.SECONDS);
    int served = 0;
    int resumed = 0;
    int mixed = 0;
    for (List<Caller.Answer> tries : streams) {
      Set<String> versions = new HashSet<>();
      for (Caller.Answer answer : tries) {
        answer.events.forEach(event -> versions.add(event.split(" ")[1]));
      }
      Caller.Answer last = tries.get(tries.size() - 1);
      served += last.status == 200 && last.whole ? 1 : 0;
      resumed += tries.size() > 1 ? 1 : 0;
      if (versions.size() > 1) {
        mixed++;
        record.line("%s holds events of %s", tries.get(0).attempt, versions);
      }
    }
    record.tell(
        "%d streams, %d ended whole, %d taken up again by their requesters, %d ran at v2",
        streams.size(), served, resumed, fresh.stream().mapToInt(replica -> replica.runs.size()).sum());
    record.tell("ORDER: %d streams hold events of two software versions", mixed);
    return mixed <= MOST_MIXED;
  }

  /** Sends a stream, and takes it up once at a random other instance if its channel breaks. */
  private static List<Caller.Answer> stream(int number, Edge entry, Edge next, Record record) {
    List<Caller.Answer> tries = new ArrayList<>();
    String headers =
        "Snipeloom-Credential: key\r\nSnipeloom-Model: m\r\nSnipeloom-Token-Counts: 1460,200\r\n"
            + "Snipeloom-Prompt-Prefix: %x:800,%x:660\r\n".formatted(0x5c1e07a2, 0x1000 + number);
    String attempt = Caller.newAttempt("stream");
    Caller.Answer answer = Caller.send(entry, "/draft/2f", attempt, headers, record);
    tries.add(answer);
    if (answer.status == 200 && !answer.whole && answer.lastEvent > 0) {
      String more =
          headers + "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(answer.lastEvent, attempt);
      tries.add(Caller.send(next, "/draft/2f", Caller.newAttempt("again"), more, record));
    }
    return tries;
  }
}
