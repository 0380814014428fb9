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
import io.snipeloom.transport.FreePorts;
import java.io.IOException;
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

/**
 * Two routers and two sidecars, each in a process of its own, with stand-ins for the log, the
 * instance list, the engine and a plain service in the process of the test.
 */
final class LocalFleet {
  static final String API_KEY = "sk-kilimanjaro-local";
  static final String TOKEN = "operator-local";

  private static final String IP = "127.0.0.1";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);

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
    publishConfiguration();
    Eventually.await(
        "both sidecars usable by router-1", () -> countUsableSidecars("router-1") == 2);
    Eventually.await(
        "both sidecars usable by router-2", () -> countUsableSidecars("router-2") == 2);
  }

  void stop() {
    processes.values().forEach(Process::destroyForcibly);
    engine.stop();
    desk.stop();
    instances.stop();
    log.stop();
  }

  void startRouter(String name) throws IOException {
    int callersPort = portOf(name + "/callers");
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
                listenJson(callersPort),
                listenJson(portOf(name + "/admin")),
                listenJson(portOf(name + "/operations")),
                url(log.port()),
                url(instances.port()),
                CallerAuthenticator.sha256Hex(TOKEN));
    startProcess(name, "router", settings);
    instances.put(instance(name, Instance.Role.ROUTER, null, callersPort));
  }

  void startSidecar(String name, String upstream, String kind, int backEndPort) throws IOException {
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
                url(backEndPort),
                listenJson(port),
                listenJson(portOf(name + "/operations")),
                url(log.port()));
    startProcess(name, "sidecar", settings);
    instances.put(instance(name, Instance.Role.SIDECAR, UpstreamId.of(upstream), port));
  }

  private static Instance instance(String name, Instance.Role role, UpstreamId upstream, int port) {
    return new Instance(InstanceId.of(name), role, Zone.of("zone-a"), upstream, IP, port, false);
  }

  private void startProcess(String name, String role, String settings) throws IOException {
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

  /** Kills a process without letting it shut down, and waits for its end. */
  void kill(String name) throws InterruptedException {
    processes.get(name).destroyForcibly().waitFor();
  }

  /** Asks a process to shut down and returns its exit code. */
  int terminate(String name) throws InterruptedException {
    processes.get(name).destroy();
    return processes.get(name).waitFor();
  }

  void sendSignal(String name, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .start()
        .waitFor();
  }

  String callerUrl(String router) throws IOException {
    return url(portOf(router + "/callers"));
  }

  private void publishConfiguration() {
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
      throw new AssertionError("publishing the configuration failed with exit code " + code);
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
    String address = url(ports.get(router + "/operations")) + "/ready";
    try {
      Eventually.await(router + " ready", () -> statusOf(address) == 200);
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + logTails(), e);
    }
  }

  /** Returns the status of a GET request, or 0 if the call failed. */
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

  private int countUsableSidecars(String router) {
    return adminResponse(router, "/admin/v1/status").split("\"usable\" : true", -1).length - 1;
  }

  /** Returns the body of an administration response, or an empty string if the call failed. */
  String adminResponse(String router, String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url(ports.get(router + "/admin")) + path))
            .header("Authorization", "Bearer " + TOKEN)
            .timeout(CALL_TIMEOUT)
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException e) {
      return "";
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  HttpRequest postRequest(String router, String path, String key, String body) throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(callerUrl(router) + path))
            .header("Authorization", "Bearer " + API_KEY)
            .header("Content-Type", "application/json")
            .timeout(CALL_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8));
    if (key != null) {
      request.header("Idempotency-Key", key);
    }
    return request.build();
  }

  HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Returns the last lines of the log of each process, for the messages of failed assertions. */
  String logTails() {
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

  /** Returns the port for a purpose, the same one on each call. */
  private int portOf(String purpose) throws IOException {
    Integer assigned = ports.get(purpose);
    if (assigned != null) {
      return assigned;
    }
    int port = FreePorts.next();
    ports.put(purpose, port);
    return port;
  }

  private static String listenJson(int port) {
    return "{\"address\": \"%s\", \"port\": %d}".formatted(IP, port);
  }

  private static String url(int port) {
    return "http://%s:%d".formatted(IP, port);
  }
}
