import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: the store, a few entry instances and replicas. Closing it ends them all. */
final class Deployment implements AutoCloseable {
  final Record record;
  final Store store;
  final List<Edge> edges = new ArrayList<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path folder;

  Deployment(Path recordFile) throws IOException {
    record = new Record(recordFile);
    folder = Files.createTempDirectory("snipeloom-review");
    store = new Store();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(Edge::kill)));
    record.line(trouble ? "run with the disruption" : "run without the disruption");
  }

  /** A case, which returns whether the rule held. */
  interface Case {
    boolean run(Deployment deployment) throws Exception;
  }

  /** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
  static void exitAfter(Path recordFile, Case toRun) {
    int status = 2;
    try (Deployment deployment = new Deployment(recordFile)) {
      try {
        status = toRun.run(deployment) ? 0 : 1;
      } catch (Exception e) {
        deployment.record.tell("the case could not run: %s", e);
        for (Edge edge : deployment.edges) {
          deployment.record.tell("log of %s:%n%s", edge.name, edge.log());
        }
      }
    } catch (IOException e) {
      System.out.println("the case could not run: " + e);
      status = 2;
    }
    System.exit(status);
  }

  /** Adds an instance, which is not started, on an address of its own. */
  Edge addEdge(String name, String zone, int storePort) throws IOException {
    String ip = "127.0.0." + (11 + edges.size());
    Edge edge = new Edge(name, zone, ip, storePort, folder, record);
    edges.add(edge);
    return edge;
  }

  /**
   * Writes the configuration.
   *
   * @param prepaid the prepaid tokens of the tenant
   */
  void configure(int version, long prepaid) {
    store.put(
        "keyed.op",
        "config",
        ("{\"version\":%d,\"routes\":[%s,%s,%s],\"services\":[{\"name\":\"desk-app\","
                + "\"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\","
                + "\"tls\":false},{\"name\":\"pool\",\"healthPath\":\"/healthz\","
                + "\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":"
                + "{\"slots\":64,\"kvCapacityTokens\":401764,\"stride\":5,"
                + "\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"tenant\",\"apiKeys\":[\"key\"],\"priority\":1,"
                + "\"prepaid\":%d}]}")
            .formatted(
                version,
                route("vote", "non_idempotent", "desk-app", 1, 600, 121, false),
                route("status", "idempotent", "desk-app", 2, 600, 121, false),
                route("draft", "streaming", "pool", 2, 8_000, 600, true),
                prepaid));
    record.line("configuration %d is acknowledged", version);
  }

  private static String route(
      String name,
      String type,
      String service,
      int attempts,
      int timeoutMs,
      int targetMs,
      boolean model) {
    return ("{\"name\":\"%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/\",\"type\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"targetGapMs\":%d,\"priority\":1,"
            + "\"service\":\"%s\",\"maxAttempts\":%d,\"anonymous\":false,"
            + "\"sessionAffinity\":%s,\"streamResume\":%s}")
        .formatted(
            name, name, type, timeoutMs, targetMs, model ? 400 : 0, service, attempts, model, model);
  }

  void startAll() throws IOException, InterruptedException {
    for (Edge edge : edges) {
      edge.start();
    }
    for (Edge edge : edges) {
      edge.awaitReady();
    }
  }

  /** Copies the logs of the instances to a folder, for a look at a failure. */
  void keepLogs(Path target) throws IOException {
    Files.createDirectories(target);
    for (Edge edge : edges) {
      Files.writeString(target.resolve(edge.name + ".log"), edge.log());
    }
  }

  @Override
  public void close() throws IOException {
    edges.forEach(Edge::kill);
    store.stop();
    if (System.getenv("KEEP_LOGS") != null) {
      keepLogs(Path.of(System.getenv("KEEP_LOGS")));
    }
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
    record.close();
  }
}
