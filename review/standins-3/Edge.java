import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One instance of the system, started as a process with the command of the deploy file. */
final class Edge implements AutoCloseable {
  private static final Pattern RUN =
      Pattern.compile("(?s)\\[roles\\.edge\\].*?\\nrun\\s*=\\s*\"([^\"]*)\"");

  final String name;
  final int port = Ports.free();
  private final int readiness = Ports.free();
  private final int metrics = Ports.free();
  private final int loans = Ports.free();
  private final Path directory;
  private final Path repository;
  private final Store store;
  private Process process;
  private int starts;

  Edge(String name, Path repository, Path directory, Store store) throws IOException {
    this.name = name;
    this.repository = repository;
    this.directory = directory;
    this.store = store;
  }

  /** Starts the process with settings as the template renders them for the site heshima-host. */
  void start() throws IOException {
    Path settings = directory.resolve(name + ".json");
    Files.writeString(
        settings,
        """
        {"instance": "%s", "zone": "dar-a", "region": "dar",
         "regionsByZone": {"dar-a": "dar", "dar-b": "dar", "dar-c": "dar"},
         "callers": "127.0.0.1:%d", "readiness": "127.0.0.1:%d", "metrics": "127.0.0.1:%d",
         "loans": "127.0.0.1:%d", "store": "%s", "storePartitions": 12, "retryRatio": 0.2,
         "retrySlack": 52, "retryWindowSeconds": 10, "memoryMegabytes": 280,
         "linkMegabits": 1000.0, "heartbeatMillis": 1200, "graceSeconds": 8}
        """
            .formatted(name, port, readiness, metrics, loans, store.address()));
    Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run line for the role edge");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.directory(repository.toFile());
    builder.environment().put("SNIPELOOM_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    starts++;
    builder.redirectOutput(directory.resolve(name + "." + starts + ".log").toFile());
    process = builder.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  /** Kills the process with SIGKILL and waits for its end. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  boolean isReady() {
    try {
      URI uri = URI.create("http://127.0.0.1:" + readiness + "/api/ready");
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!isReady()) {
      if (System.nanoTime() > deadline) {
        throw new IOException(name + " did not get ready");
      }
      Thread.sleep(50);
    }
  }

  /** Returns the lines of the log of the last start that hold a text. */
  List<String> log(String text) throws IOException {
    Path log = directory.resolve(name + "." + starts + ".log");
    return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null) {
      kill();
    }
  }
}
