import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A replica in trouble sends, in place of one in 33 of its answers, bytes that are no answer,
 * without end, until its caller closes.
 * CONFIG: of the requests that are still unanswered at their route's timeoutMs, not more than half
 * may have no answer half a second later.
 */
public final class EndlessAnswer {
  private static final double TIMEOUT_SECONDS = 0.6;
  private static final int TIME_LIMIT_MILLIS = 3_000;

  /** After which requesters abandon an idempotent request that was not read; a third of the time. */
  private static final int UNREAD_MILLIS = 1_000;

  private static final double SLACK_SECONDS = 0.5;

  public static void main(String[] args) {
    Deployment.exitAfter(Path.of(args[0]), EndlessAnswer::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    Record record = deployment.record;
    Edge edge = deployment.addEdge("edge-dar-a-1", "dar-a", deployment.store.port());
    Edge other = deployment.addEdge("edge-dar-b-1", "dar-b", deployment.store.port());
    List<Replica> replicas = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Replica replica = new Replica("i-app-" + i, "desk-app", "v1", deployment.store, record);
      replica.workMillis = 60;
      replica.register();
      replicas.add(replica);
    }
    deployment.configure(7, 1_000_000);
    deployment.startAll();
    Queue<Caller.Answer> answers = new ConcurrentLinkedQueue<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    double begin = record.seconds();
    double struck = -1;
    Balancer balancer = new Balancer(List.of(edge, other), record);
    for (int i = 0; record.seconds() < begin + 25; i++) {
      Edge entry = balancer.choose(i);
      boolean vote = i % 4 < 2;
      callers.execute(
          () -> {
            String attempt = Caller.newAttempt(vote ? "vote" : "status");
            String path = vote ? "/vote/2f" : "/status/2f";
            answers.add(
                Caller.send(
                    entry,
                    path,
                    attempt,
                    "Snipeloom-Credential: key\r\n",
                    TIME_LIMIT_MILLIS,
                    vote ? TIME_LIMIT_MILLIS : UNREAD_MILLIS,
                    record));
          });
      Thread.sleep(25);
      if (struck < 0 && record.seconds() > begin + 8) {
        struck = record.seconds();
        if (deployment.trouble) {
          record.tell("from %.3f s on replica %s is in trouble", struck, replicas.get(0).id);
          replicas.get(0).inTrouble = true;
        }
      }
    }
    callers.shutdown();
    Thread.sleep(4_000);
    callers.shutdownNow();
    int open = 0;
    int late = 0;
    int served = 0;
    int abandoned = 0;
    for (Caller.Answer answer : answers) {
      served += answer.status == 200 ? 1 : 0;
      boolean left = answer.status == 0 && answer.attempt.startsWith("status");
      if (left) {
        abandoned++;
      } else if (answer.tookSeconds >= TIMEOUT_SECONDS) {
        open++;
        late += answer.tookSeconds > TIMEOUT_SECONDS + SLACK_SECONDS ? 1 : 0;
      }
    }
    record.tell(
        "%d requests, %d served; %d of %d questions whether an instance is ready got no 200",
        answers.size(), served, balancer.misses(), balancer.questions());
    record.tell(
        "the replica sent %d answers without end, %.1f GB", replicas.get(0).endlessAnswers.get(),
        replicas.get(0).endlessBytes.get() / 1e9);
    record.tell("%d idempotent requests were abandoned after 1 s and do not count", abandoned);
    record.tell(
        "CONFIG: %d requests had no answer at timeoutMs, %d of them none half a second later",
        open, late);
    return late <= 0.5 * open;
  }
}
