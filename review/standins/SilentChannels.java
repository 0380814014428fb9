import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * All open channels to the store go silent, new ones work. Then a replica leaves: its entry is
 * removed, and it goes on to serve. DRAIN: nothing may reach it later than drainMs after that,
 * sent by a machine in touch, which is in touch again stableMs after the channels went silent.
 */
public final class SilentChannels {
  private static final double DRAIN_SECONDS = 2;
  private static final double STABLE_SECONDS = 3;

  public static void main(String[] args) {
    Deployment.exitAfter(Path.of(args[0]), SilentChannels::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    Record record = deployment.record;
    Link link = new Link(deployment.store.port());
    Edge edge = deployment.addEdge("edge-dar-a-1", "dar-a", link.port());
    Edge other = deployment.addEdge("edge-dar-b-1", "dar-b", link.port());
    List<Replica> replicas = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Replica replica = new Replica("i-app-" + i, "desk-app", "v1", deployment.store, record);
      replica.workMillis = 100;
      replica.register();
      replicas.add(replica);
    }
    deployment.configure(7, 1_000_000);
    deployment.startAll();
    Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    double silent = -1;
    double left = -1;
    double first = record.seconds();
    for (int i = 0; record.seconds() < first + 20; i++) {
      Edge entry = i % 2 == 0 ? edge : other;
      boolean vote = i % 4 < 2;
      callers.execute(
          () -> {
            String attempt = Caller.newAttempt(vote ? "vote" : "status");
            String path = vote ? "/vote/2f" : "/status/2f";
            Caller.Answer answer =
                Caller.send(entry, path, attempt, "Snipeloom-Credential: key\r\n", record);
            answers.put(attempt, answer);
          });
      Thread.sleep(25);
      if (silent < 0 && record.seconds() > first + 8) {
        silent = record.seconds();
        if (deployment.trouble) {
          record.tell(
              "at %.3f s %d open channels to the store go silent",
              silent, link.silenceOpenChannels());
        }
      }
      if (left < 0 && record.seconds() > first + 8.4) {
        replicas.get(0).leave();
        left = record.seconds();
      }
    }
    callers.shutdown();
    Thread.sleep(1_500);
    callers.shutdownNow();
    double bound = Math.max(left + DRAIN_SECONDS, silent + STABLE_SECONDS);
    int late = 0;
    double last = 0;
    for (Replica.Run run : replicas.get(0).runs) {
      last = Math.max(last, run.atSeconds());
      if (run.atSeconds() > bound) {
        late++;
      }
    }
    int served = 0;
    for (Caller.Answer answer : answers.values()) {
      served += answer.status == 200 ? 1 : 0;
    }
    record.tell(
        "%d requests, %d served; the entry went at %.3f s, the last request reached it at %.3f s",
        answers.size(), served, left, last);
    record.tell(
        "DRAIN: %d requests reached it after %.3f s, later than drainMs after the ack and sent by"
            + " machines in touch",
        late, bound);
    return late == 0;
  }
}
