import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry instance: the command of {@code [roles.edge]} in the deploy file, as a process of its
 * own. Its settings are those that deploy/edge-settings.json renders for a small deployment.
 */
final class EdgeInstance implements AutoCloseable {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final List<String> PASSED_ON = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

  private final String name;
  private final String ip;
  private final Path repository;
  private final Path settings;
  private final Path log;
  private final RunRecord record;
  private final int callersPort;
  private final int readinessPort;
  private Process process;

  /**
   * Creates an instance that does not run yet.
   *
   * @param number the number of its machine, from 1
   * @param directory a temporary directory for its settings and its log
   */
  EdgeInstance(
      int number, Path repository, Path directory, InetSocketAddress store, RunRecord record)
      throws IOException {
    this.name = "edge-zone-" + (char) ('a' + number - 1) + "-1";
    this.ip = "127.0.0." + (10 + number);
    this.repository = repository;
    this.record = record;
    this.settings = directory.resolve(name + ".json");
    this.log = directory.resolve(name + ".log");
    this.callersPort = freePort();
    this.readinessPort = freePort();
    String text =
        """
        {"instance": "%s", "zone": "zone-%c", "region": "region-1",
         "regionsByZone": {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1",
           "zone-d": "region-1"},
         "callers": "%s:%d", "readiness": "%s:%d", "metrics": "%s:%d", "loans": "%s:%d",
         "store": "%s:%d", "storePartitions": 12, "retryRatio": 0.2, "retrySlack": 52,
         "retryWindowSeconds": 10, "memoryMegabytes": 430, "heartbeatMillis": 1200,
         "graceSeconds": 8}
        """
            .formatted(
                name,
                'a' + number - 1,
                ip,
                callersPort,
                ip,
                readinessPort,
                ip,
                freePort(),
                ip,
                freePort(),
                store.getAddress().getHostAddress(),
                store.getPort());
    Files.writeString(settings, text);
  }

  private int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  String name() {
    return name;
  }

  InetSocketAddress callers() {
    return new InetSocketAddress(ip, callersPort);
  }

  /** Starts the process. */
  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run line");
    }
    ProcessBuilder builder =
        new ProcessBuilder(run.group(1).split(" "))
            .directory(repository.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(PASSED_ON);
    environment.put("SNIPELOOM_SETTINGS", settings.toString());
    process = builder.start();
    record.line("%s: process started", name);
  }

  /** Waits until the instance says that it is ready. */
  void awaitReady() throws IOException {
    long deadlineNanos = System.nanoTime() + 20_000_000_000L;
    while (!isReady()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IOException(name + " is not ready in time");
      }
      StandinReplica.sleep(50);
    }
    record.line("%s: ready", name);
  }

  private boolean isReady() {
    try {
      URI uri = URI.create("http://" + ip + ":" + readinessPort + "/api/ready");
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns what the process has logged. */
  String log() throws IOException {
    return Files.readString(log);
  }

  /** Kills the process. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    kill();
  }
}
