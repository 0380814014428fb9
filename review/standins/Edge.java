import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry instance, run as a process with the command of the deploy file. */
final class Edge {
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 32_000;
  private static final Set<Integer> PORTS = ConcurrentHashMap.newKeySet();

  final String name;
  final String ip;
  final int front;
  private final int ready;
  private final Path settings;
  private final Path log;
  private final Record record;
  private Process process;

  /**
   * Writes the settings of an instance.
   *
   * @param zone its zone
   * @param storePort the port at which it reaches the store
   */
  Edge(String name, String zone, String ip, int storePort, Path folder, Record record)
      throws IOException {
    this.name = name;
    this.ip = ip;
    this.record = record;
    front = freePort(ip);
    ready = freePort(ip);
    log = folder.resolve(name + ".log");
    settings = folder.resolve(name + ".json");
    Files.writeString(
        settings,
        """
        {"instance": "%s", "zone": "%s", "region": "dar",
         "regionsByZone": {"dar-a": "dar", "dar-b": "dar", "dar-c": "dar"},
         "callers": "%s:%d", "readiness": "%s:%d", "metrics": "%s:%d", "loans": "%s:%d",
         "store": "127.0.0.1:%d", "storePartitions": 12, "retryRatio": 0.2, "retrySlack": 52,
         "retryWindowSeconds": 10, "memoryMegabytes": 280, "graceSeconds": 8}
        """
            .formatted(
                name, zone, ip, front, ip, ready, ip, freePort(ip), ip, freePort(ip), storePort));
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(runCommand());
    builder.environment().put("SNIPELOOM_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    record.line("start of %s, process %d", name, process.pid());
  }

  private static List<String> runCommand() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!line.find()) {
      throw new IllegalStateException("deploy/system.toml has no run line");
    }
    return new ArrayList<>(List.of(line.group(1).split(" +")));
  }

  void awaitReady() throws InterruptedException {
    for (int i = 0; i < 400 && !isReady(); i++) {
      Thread.sleep(50);
    }
    if (!isReady()) {
      throw new IllegalStateException(name + " does not become ready");
    }
    record.line("%s is ready", name);
  }

  boolean isReady() {
    try {
      URI uri = URI.create("http://" + ip + ":" + ready + "/api/ready");
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setConnectTimeout(1_000);
      connection.setReadTimeout(1_000);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends SIGKILL and waits for the end. */
  void kill() {
    if (process != null && process.isAlive()) {
      record.line("SIGKILL to %s", name);
      process.destroyForcibly().onExit().join();
    }
  }

  String log() throws IOException {
    return Files.readString(log);
  }

  /** Returns a free port below those that the kernel gives to outgoing channels. */
  private static int freePort(String ip) {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
        if (PORTS.add(port)) {
          return port;
        }
      } catch (IOException e) {
        // The port is in use; another one is tried.
      }
    }
  }
}
