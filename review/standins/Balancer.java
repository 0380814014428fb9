import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for the platform's entry: asks each instance once a second whether it is ready. One that
 * missed twice gets no new channels until it answers 200 again; if none is left, all get some.
 */
final class Balancer {
  private static final int MOST_MISSES = 2;

  private final List<Edge> edges;
  private final ConcurrentMap<Edge, Integer> missed = new ConcurrentHashMap<>();
  private final AtomicInteger misses = new AtomicInteger();
  private final AtomicInteger questions = new AtomicInteger();

  Balancer(List<Edge> edges, Record record) {
    this.edges = edges;
    for (Edge edge : edges) {
      missed.put(edge, 0);
      Thread thread = new Thread(() -> ask(edge, record), "balancer");
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void ask(Edge edge, Record record) {
    while (true) {
      Replica.sleep(1_000);
      questions.incrementAndGet();
      if (edge.isReady()) {
        missed.put(edge, 0);
      } else {
        misses.incrementAndGet();
        missed.merge(edge, 1, Integer::sum);
        record.line("%s gives no 200 to the question whether it is ready", edge.name);
      }
    }
  }

  /** Returns the instance for a new channel. */
  Edge choose(int number) {
    List<Edge> inRotation =
        edges.stream().filter(edge -> missed.get(edge) < MOST_MISSES).toList();
    List<Edge> chosen = inRotation.isEmpty() ? edges : inRotation;
    return chosen.get(number % chosen.size());
  }

  int misses() {
    return misses.get();
  }

  int questions() {
    return questions.get();
  }
}
