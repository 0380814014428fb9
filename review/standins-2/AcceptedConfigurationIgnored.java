import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 8: the operator writes a version that takes a key away, moves a route to another service and
 * adds a tenant whose name has a space. Judges whether requests later than {@code configApplyMs}
 * after its ack are handled as only the older version allows.
 */
final class AcceptedConfigurationIgnored {
  private static final long CONFIG_APPLY_MILLIS = 2_000;
  private static final long WAIT_MILLIS = 10_000;
  private static final int MACHINES = 2;
  private static final int ROUNDS = 20;

  private final RunRecord record;
  private final StandinCaller caller;
  private final Set<String> ranAtOld = ConcurrentHashMap.newKeySet();
  private final Set<String> ranAtNew = ConcurrentHashMap.newKeySet();

  private AcceptedConfigurationIgnored(RunRecord record) {
    this.record = record;
    this.caller = new StandinCaller(record);
  }

  public static void main(String[] arguments) {
    Path repository = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[1]))) {
      code = new AcceptedConfigurationIgnored(record).play(repository, trouble) ? 1 : 0;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  private static String configuration(int version, String service, String tenants) {
    return ("{\"version\":%d,\"routes\":[{\"name\":\"r-vote\",\"host\":\"desk.example\","
            + "\"pathPrefix\":\"/vote/\",\"type\":\"non_idempotent\",\"timeoutMs\":2000,"
            + "\"targetLatencyMs\":121,\"priority\":0,\"service\":\"%s\",\"maxAttempts\":1,"
            + "\"anonymous\":false,\"sessionAffinity\":false,\"streamResume\":false,"
            + "\"targetGapMs\":0}],\"services\":[{\"name\":\"desk-1\",\"healthPath\":\"/healthz\","
            + "\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"desk-2\","
            + "\"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[%s]}")
        .formatted(version, service, tenants);
  }

  private static String tenant(String name, String... keys) {
    return "{\"name\":\"%s\",\"apiKeys\":[\"%s\"],\"priority\":1}"
        .formatted(name, String.join("\",\"", keys));
  }

  /** Plays the case; returns whether the rule was broken. */
  private boolean play(Path repository, boolean trouble) throws Exception {
    Path directory = Files.createTempDirectory("review");
    List<EdgeInstance> edges = new ArrayList<>();
    List<StandinReplica> replicas = new ArrayList<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> edges.forEach(EdgeInstance::kill)));
    String newTenant = trouble ? "Dar Tech College" : "dar-tech-college";
    int revokedRan = 0;
    int newRefused = 0;
    int ranAtOldService = 0;
    try (StandinStore store = new StandinStore(record)) {
      store.put(
          "keyed.op", "config", configuration(7, "desk-1", tenant("senate", "key-1", "key-2")));
      replicas.add(new StandinReplica("i-1", "desk-1", 6, store, record, answer(ranAtOld)));
      replicas.add(new StandinReplica("i-2", "desk-2", 6, store, record, answer(ranAtNew)));
      replicas.forEach(StandinReplica::register);
      for (int i = 1; i <= MACHINES; i++) {
        InetSocketAddress address = store.open();
        edges.add(new EdgeInstance(i, repository, directory, address, record));
        edges.get(i - 1).start();
      }
      for (EdgeInstance edge : edges) {
        edge.awaitReady();
      }
      StandinReplica.sleep(4_000);
      for (EdgeInstance edge : edges) {
        if (send(edge, "before-" + edge.name(), "key-2").status() != 200) {
          throw new IOException("no request is served before the change");
        }
      }
      store.put(
          "keyed.op",
          "config",
          configuration(9, "desk-2", tenant("senate", "key-1") + "," + tenant(newTenant, "key-3")));
      record.line("store: version 9 acknowledged, with a tenant named '%s'", newTenant);
      StandinReplica.sleep(WAIT_MILLIS);
      for (int i = 0; i < ROUNDS; i++) {
        EdgeInstance edge = edges.get(i % MACHINES);
        send(edge, "revoked-" + i, "key-2");
        revokedRan += ranAtOld.contains("revoked-" + i) || ranAtNew.contains("revoked-" + i) ? 1 : 0;
        newRefused += send(edge, "new-" + i, "key-3").status() == 401 ? 1 : 0;
        send(edge, "kept-" + i, "key-1");
        ranAtOldService += ranAtOld.contains("kept-" + i) ? 1 : 0;
      }
      for (EdgeInstance edge : edges) {
        record.line("log of %s:%n%s", edge.name(), configurationLines(edge.log()));
      }
    } finally {
      edges.forEach(EdgeInstance::close);
      for (StandinReplica replica : replicas) {
        replica.close();
      }
    }
    boolean broken = revokedRan + newRefused + ranAtOldService > 0;
    record.result(
        "CONFIG %s: %d ms after the ack (configApplyMs %d), of %d requests each, %d ran with a key "
            + "that was taken away, %d were refused 401 with a key that is there, %d were run by "
            + "the old service",
        broken ? "broken" : "held",
        WAIT_MILLIS,
        CONFIG_APPLY_MILLIS,
        ROUNDS,
        revokedRan,
        newRefused,
        ranAtOldService);
    return broken;
  }

  private static String configurationLines(String log) {
    return String.join(
        "\n", log.lines().filter(line -> line.contains("event=configuration")).toList());
  }

  private StandinCaller.Answer send(EdgeInstance edge, String attempt, String key) {
    return caller.send(
        edge.callers(),
        attempt,
        "POST",
        "/vote/1",
        "Snipeloom-Deadline-Ms: 1500\r\nSnipeloom-Credential: " + key + "\r\n");
  }

  private static StandinReplica.Work answer(Set<String> ran) {
    return (StandinReplica replica, Http request, String common, OutputStream out) -> {
      ran.add(request.header("snipeloom-attempt-id"));
      StandinReplica.write(out, "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 4\r\n\r\ndone");
    };
  }
}
