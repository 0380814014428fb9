package io.snipeloom.daemon;

import io.snipeloom.client.Instance;
import io.snipeloom.standin.EngineSettings;
import io.snipeloom.standin.EngineStandin;
import io.snipeloom.standin.InstancesStandin;
import io.snipeloom.standin.LogStandin;
import io.snipeloom.standin.ServiceStandin;
import io.snipeloom.standin.StandinAddress;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Zone;
import io.snipeloom.transport.Eventually;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Routers and sidecars as processes of their own, with stand-ins in the process of the test. */
final class LocalFleet {
  static final String API_KEY = "sk-kilimanjaro-local";
  static final String TOKEN = "operator-local";

  private static final String IP = "127.0.0.1";
  private static final int FIRST_PORT = 20_000;
  private static final int PORTS = 10_000;
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) ProcessHandle.current().pid());
  private static final Duration CALL_LIMIT = Duration.ofSeconds(60);

  final LogStandin log = LogStandin.of(StandinAddress.anyPort());
  final InstancesStandin instances = InstancesStandin.of(StandinAddress.anyPort());
  final EngineStandin engine =
      EngineStandin.of(
          StandinAddress.anyPort(),
          EngineSettings.standard().withGeneration(20, 200).withModels(List.of("draft-small")));
  final ServiceStandin desk = ServiceStandin.of(StandinAddress.anyPort(), "desk");
  final HttpClient http = HttpClient.newHttpClient();
  private final Path directory;
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<String, Integer> ports = new HashMap<>();

  LocalFleet(Path directory) {
    this.directory = directory;
  }

  void start() throws Exception {
    log.start();
    instances.start();
    engine.start();
    desk.start();
    startSidecar("drafting-1", "drafting", "MODEL_ENGINE", engine.port());
    startSidecar("desk-1", "desk", "PLAIN_SERVICE", desk.port());
    startRouter("router-1");
    startRouter("router-2");
    awaitReady("router-1");
    awaitReady("router-2");
    publish();
    Eventually.await("sidecars usable", () -> usableSidecars("router-1") == 2);
    Eventually.await("sidecars usable", () -> usableSidecars("router-2") == 2);
  }

  void stop() {
    processes.values().forEach(Process::destroyForcibly);
    engine.stop();
    desk.stop();
    instances.stop();
    log.stop();
  }

  void startRouter(String name) throws IOException {
    int callers = portOf(name + "/callers");
    String settings =
        """
        {"instance": "%s", "zone": "zone-a", "callers": %s, "admin": %s, "operations": %s,
         "log": {"addresses": ["%s"], "stream": "decisions"}, "instanceList": "%s",
         "sharedKey": "a shared key of tests", "operators": [{"name": "local", "tokenHash": "%s"}],
         "consoleKey": "a console key of tests with 32 bytes", "secureCookies": false,
         "drainSeconds": 30}
        """
            .formatted(
                name,
                listen(callers),
                listen(portOf(name + "/admin")),
                listen(portOf(name + "/operations")),
                url(log.port()),
                url(instances.port()),
                CallerAuthenticator.sha256Hex(TOKEN));
    run(name, "router", settings);
    instances.put(instance(name, Instance.Role.ROUTER, null, callers));
  }

  void startSidecar(String name, String upstream, String kind, int backEnd) throws IOException {
    int port = portOf(name + "/listen");
    String settings =
        """
        {"instance": "%s", "zone": "zone-a", "upstream": "%s", "kind": "%s", "backEnd": "%s",
         "listen": %s, "operations": %s, "log": {"addresses": ["%s"], "stream": "decisions"},
         "sharedKey": "a shared key of tests", "capacity": 16, "queueLimit": 100,
         "drainSeconds": 30}
        """
            .formatted(
                name,
                upstream,
                kind,
                url(backEnd),
                listen(port),
                listen(portOf(name + "/operations")),
                url(log.port()));
    run(name, "sidecar", settings);
    instances.put(instance(name, Instance.Role.SIDECAR, UpstreamId.of(upstream), port));
  }

  private static Instance instance(String name, Instance.Role role, UpstreamId upstream, int port) {
    return new Instance(InstanceId.of(name), role, Zone.of("zone-a"), upstream, IP, port, false);
  }

  private void run(String name, String role, String settings) throws IOException {
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, settings);
    processes.put(
        name,
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx256m",
                "-cp",
                System.getProperty("java.class.path"),
                SnipeloomCommand.class.getName(),
                role,
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(name + ".log").toFile())
            .start());
  }

  void kill(String name) throws InterruptedException {
    processes.get(name).destroyForcibly().waitFor();
  }

  int terminate(String name) throws InterruptedException {
    processes.get(name).destroy();
    return processes.get(name).waitFor();
  }

  void signal(String name, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .start()
        .waitFor();
  }

  String callerUrl(String router) throws IOException {
    return url(portOf(router + "/callers"));
  }

  private void publish() {
    int code =
        SnipeloomCommand.commandLine()
            .execute(
                "config",
                "publish",
                "--base",
                "-1",
                "--admin",
                url(ports.get("router-1/admin")),
                "--token-file",
                tokenFile(),
                "examples/local/configuration.json");
    if (code != 0) {
      throw new AssertionError("publish ended with " + code);
    }
  }

  private String tokenFile() {
    try {
      return Files.writeString(directory.resolve("token"), TOKEN).toString();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  void awaitReady(String router) {
    Eventually.await(
        router + " ready",
        () -> statusOf(url(ports.get(router + "/operations")) + "/ready") == 200);
  }

  private int statusOf(String address) {
    try {
      return http.send(
              HttpRequest.newBuilder(URI.create(address)).build(),
              HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private int usableSidecars(String router) {
    return admin(router, "/admin/v1/status").split("\"usable\" : true", -1).length - 1;
  }

  String admin(String router, String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url(ports.get(router + "/admin")) + path))
            .header("Authorization", "Bearer " + TOKEN)
            .timeout(CALL_LIMIT)
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException e) {
      return "";
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  HttpRequest post(String router, String path, String key, String body) throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(callerUrl(router) + path))
            .header("Authorization", "Bearer " + API_KEY)
            .header("Content-Type", "application/json")
            .timeout(CALL_LIMIT)
            .POST(HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8));
    if (key != null) {
      request.header("Idempotency-Key", key);
    }
    return request.build();
  }

  HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the tail of the logs, for the message of a failed check. */
  String logs() {
    StringBuilder text = new StringBuilder();
    for (String name : List.copyOf(processes.keySet())) {
      try {
        List<String> lines = Files.readAllLines(directory.resolve(name + ".log"));
        text.append("\n== ").append(name).append('\n');
        lines
            .subList(Math.max(0, lines.size() - 15), lines.size())
            .forEach(line -> text.append(line).append('\n'));
      } catch (IOException e) {
        text.append("\n== ").append(name).append(" has no log\n");
      }
    }
    return text.toString();
  }

  private int portOf(String use) throws IOException {
    Integer known = ports.get(use);
    if (known != null) {
      return known;
    }
    int port = freePort();
    ports.put(use, port);
    return port;
  }

  /** Returns a port below those that the system gives to outgoing connections, each once. */
  private static int freePort() throws IOException {
    for (int tries = 0; tries < PORTS; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Taken by someone else; the next one is tried.
      }
    }
    throw new IOException("no free port");
  }

  private static String listen(int port) {
    return "{\"address\": \"%s\", \"port\": %d}".formatted(IP, port);
  }

  private static String url(int port) {
    return "http://%s:%d".formatted(IP, port);
  }
}
