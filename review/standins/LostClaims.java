import java.nio.file.Path;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A tenant's requesters use its prepaid tokens at one instance. Shortly before the end its process is
 * killed and started again, and meanwhile the store is away for a moment and comes back from a copy
 * some seconds old. BUDGET: the tenant may not get more than its prepaid.
 */
public final class LostClaims {
  private static final long PREPAID = 1_000_000;
  private static final long INPUT = 3_000;
  private static final long OUTPUT = 100;

  public static void main(String[] args) {
    Deployment.exitAfter(Path.of(args[0]), LostClaims::run);
  }

  private static boolean run(Deployment deployment) throws Exception {
    Record record = deployment.record;
    String trouble = System.getenv().getOrDefault("TROUBLE", "1");
    Edge first = deployment.addEdge("edge-dar-a-1", "dar-a", deployment.store.port());
    deployment.addEdge("edge-dar-b-1", "dar-b", deployment.store.port());
    for (int i = 1; i <= 3; i++) {
      Replica replica = new Replica("i-pool-" + i, "pool", "v1", deployment.store, record);
      replica.register();
    }
    deployment.configure(7, PREPAID);
    deployment.startAll();
    AtomicLong used = new AtomicLong();
    AtomicLong refused = new AtomicLong();
    Semaphore running = new Semaphore(20);
    Queue<Caller.Answer> answers = new ConcurrentLinkedQueue<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    double begin = record.seconds();
    double copied = -1;
    double struck = -1;
    Thread operator = null;
    for (int i = 0; record.seconds() < begin + 60; i++) {
      int number = i;
      if (running.tryAcquire()) {
        callers.execute(
            () -> {
              Caller.Answer answer = send(number, first, record);
              answers.add(answer);
              if (!answer.events.isEmpty()) {
                used.addAndGet(INPUT + (long) answer.events.size() * Replica.TOKENS_PER_EVENT);
              }
              if (answer.status == 402) {
                refused.incrementAndGet();
              }
              running.release();
            });
      }
      Thread.sleep(50);
      if (copied < 0 && used.get() > PREPAID * 70 / 100) {
        copied = record.seconds();
        deployment.store.takeCopy();
        record.tell("at %.3f s, with %d tokens used, the store takes a copy", copied, used.get());
      }
      if (struck < 0 && used.get() > PREPAID * 95 / 100) {
        struck = record.seconds();
        record.tell("at %.3f s %d tokens are used", struck, used.get());
        operator = new Thread(() -> operate(deployment, first, trouble));
        operator.start();
      }
      if (struck > 0 && record.seconds() > struck + 20) {
        break;
      }
    }
    callers.shutdown();
    callers.awaitTermination(10, TimeUnit.SECONDS);
    if (operator == null) {
      throw new IllegalStateException("the tokens were not used up");
    }
    operator.join();
    long input = 0;
    long output = 0;
    int served = 0;
    for (Caller.Answer answer : answers) {
      input += answer.events.isEmpty() ? 0 : INPUT;
      output += (long) answer.events.size() * Replica.TOKENS_PER_EVENT;
      served += answer.status == 200 && answer.whole ? 1 : 0;
    }
    record.tell("%d requests, %d served whole, %d got 402", answers.size(), served, refused.get());
    record.tell(
        "BUDGET: the tenant got %d tokens in and %d out, together %d of its prepaid %d",
        input, output, input + output, PREPAID);
    return input + output <= PREPAID;
  }

  /** Kills the instance and starts it again, while the store is away and comes back. */
  private static void operate(Deployment deployment, Edge edge, String trouble) {
    Record record = deployment.record;
    boolean drill = trouble.equals("1") || trouble.equals("drill");
    boolean kill = trouble.equals("1") || trouble.equals("kill");
    try {
      if (kill) {
        edge.kill();
        record.tell("at %.3f s the process of %s is killed", record.seconds(), edge.name);
      }
      Thread.sleep(500);
      if (drill) {
        deployment.store.goAway();
        record.tell("at %.3f s the store goes away", record.seconds());
      }
      Thread.sleep(300);
      if (kill) {
        edge.start();
      }
      Thread.sleep(700);
      if (drill) {
        deployment.store.comeBackFromCopy();
        record.tell("at %.3f s the store comes back from its copy", record.seconds());
      }
      edge.awaitReady();
    } catch (Exception e) {
      record.line("the operator failed: %s", e);
    }
  }

  private static Caller.Answer send(int number, Edge edge, Record record) {
    String headers =
        "Snipeloom-Credential: key\r\nSnipeloom-Model: m\r\nSnipeloom-Token-Counts: %d,%d\r\n"
                .formatted(INPUT, OUTPUT)
            + "Snipeloom-Prompt-Prefix: 5c1e07a2:800,%x:2200\r\n".formatted(0x1000 + number);
    return Caller.send(edge, "/draft/2f", Caller.newAttempt("draft"), headers, record);
  }
}
