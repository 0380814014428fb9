package io.snipeloom.edge;

import io.snipeloom.platform.FakeStore;
import io.snipeloom.transport.Eventually;
import io.snipeloom.transport.FreePorts;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Runs an edge instance as a process of its own, which signals can stop and resume. */
final class EdgeProcess implements AutoCloseable {
  private static final double DEFAULT_GRACE_SECONDS = 5;

  private final FakeStore store;
  private final String name;
  private final int callersPort = FreePorts.next();
  private final int readinessPort = FreePorts.next();
  private final Path log;
  private final Path settings;
  private final String settingsText;
  private final Process process;

  /**
   * Starts the process.
   *
   * @param directory where its settings and its log are kept
   * @param store the store that it uses
   */
  EdgeProcess(Path directory, FakeStore store) throws IOException {
    this(directory, store, "edge-1", DEFAULT_GRACE_SECONDS);
  }

  /**
   * Starts the process. It reads its settings from the file edge.json; if a pipe has that name, it
   * waits for {@link #openSettings} and for the {@link #settingsText}.
   *
   * @param directory where its settings and its log are kept; its name is that of the process
   * @param store the store that it uses; {@link #close} stops it
   * @param instance the name of the instance
   * @param graceSeconds the time between the signal to stop and the kill, in seconds
   */
  EdgeProcess(Path directory, FakeStore store, String instance, double graceSeconds)
      throws IOException {
    this.store = store;
    name = directory.getFileName().toString();
    log = directory.resolve("edge.log");
    settings = directory.resolve("edge.json");
    settingsText =
        """
        {"instance": "%s", "zone": "zone-a", "callers": "127.0.0.1:%d",
         "readiness": "127.0.0.1:%d", "metrics": "127.0.0.1:%d", "loans": "127.0.0.1:%d",
         "store": "127.0.0.1:%d", "storePartitions": 3, "retryRatio": 0.2, "retrySlack": 40,
         "retryWindowSeconds": 10, "graceSeconds": %s}
        """
            .formatted(
                instance,
                callersPort,
                readinessPort,
                FreePorts.next(),
                FreePorts.next(),
                store.address().getPort(),
                graceSeconds);
    if (!Files.exists(settings)) {
      Files.writeString(settings, settingsText);
    }
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                EdgeMain.class.getName(),
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
  }

  /** Waits until the process reports that it is ready and has learned of a replica. */
  void awaitReady(String replica) {
    Eventually.await("the process is ready", this::isReady);
    Eventually.await(
        "the replica is known", () -> log().contains("event=replica replica=" + replica + " "));
  }

  /** Opens the pipe of the settings once the process reads from it. */
  Writer openSettings() throws IOException {
    return Files.newBufferedWriter(settings);
  }

  /** Returns what the settings file has to say. */
  String settingsText() {
    return settingsText;
  }

  /** Returns the name of the process. */
  String name() {
    return name;
  }

  /** Returns whether the process reports that it is ready. */
  boolean isReady() {
    try {
      URI uri = URI.create("http://127.0.0.1:" + readinessPort + "/");
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      // Nothing listens yet.
      return false;
    }
  }

  /** Opens a connection to the address for callers. */
  Socket open() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), callersPort);
    socket.setSoTimeout(8_000);
    return socket;
  }

  /** Suspends the process; its connections stay open and the kernel goes on to accept new ones. */
  void suspend() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Resumes the process. */
  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /** Tells the process to stop within its grace period. */
  void terminate() throws IOException, InterruptedException {
    signal("TERM");
  }

  /** Tells the process that its settings have changed. */
  void hangUp() throws IOException, InterruptedException {
    signal("HUP");
  }

  /** Returns whether the process has not ended. */
  boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process as the platform does when the grace period is over. */
  void kill() {
    process.destroyForcibly();
  }

  /** Waits until the process has ended; returns whether it has. */
  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  private void signal(String name) throws IOException, InterruptedException {
    String command = "kill -%s %d".formatted(name, process.pid());
    Process shell = new ProcessBuilder("sh", "-c", command).inheritIO().start();
    if (shell.waitFor() != 0 && process.isAlive()) {
      throw new IllegalStateException("no signal " + name + " sent");
    }
  }

  /** Returns what the process has logged so far. */
  String log() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
    store.stop();
  }
}
