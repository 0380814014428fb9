package io.snipeloom.edge;

import io.snipeloom.platform.FakeReplica;
import io.snipeloom.platform.FakeStore;
import io.snipeloom.routing.ColdStartBounds;
import io.snipeloom.routing.Places;
import io.snipeloom.telemetry.EventLog;
import io.snipeloom.transport.BusyReading;
import io.snipeloom.transport.FreePorts;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Runs an edge instance on a fake store; the test provides replicas and callers. */
final class EdgeFixture implements AutoCloseable {
  private static final long AWAIT_TIMEOUT_MILLIS = 20_000;
  private static final String REPLICA_TOPIC = "keyed.servers";

  /** Requests with this path reserve tokens, but their service has no replicas. */
  private static final String UNSERVED_PATH = "/unserved/";

  final FakeStore store;
  final ByteArrayOutputStream log = new ByteArrayOutputStream();
  private final EdgeDaemon daemon;
  private final EdgeSettings settings;

  EdgeFixture() throws IOException {
    this("edge-1", FakeStore.start());
  }

  /** Starts an instance on a store; {@link #close} stops both. */
  EdgeFixture(String instance, FakeStore store) throws IOException {
    this(instance, store, store.address());
  }

  /** Starts an instance that reaches the store at the given endpoint. */
  EdgeFixture(String instance, FakeStore store, InetSocketAddress endpoint) throws IOException {
    this(instance, store, endpoint, Places.UNKNOWN, Optional.empty(), OptionalInt.empty());
  }

  /** Starts an instance that knows places and bounds on requests to cold replicas. */
  EdgeFixture(
      String instance,
      FakeStore store,
      InetSocketAddress endpoint,
      Places places,
      Optional<ColdStartBounds> coldStart)
      throws IOException {
    this(instance, store, endpoint, places, coldStart, OptionalInt.empty());
  }

  private EdgeFixture(
      String instance,
      FakeStore store,
      InetSocketAddress endpoint,
      Places places,
      Optional<ColdStartBounds> coldStart,
      OptionalInt memoryMegabytes)
      throws IOException {
    this.store = store;
    settings =
        new EdgeSettings(
            instance,
            "zone-a",
            freeAddress(),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            endpoint,
            3,
            0.2,
            40,
            10,
            5,
            places,
            coldStart,
            memoryMegabytes,
            EdgeSettings.DEFAULT_LEASE_TERMS,
            OptionalDouble.empty());
    daemon =
        EdgeDaemon.of(
            settings,
            UUID.randomUUID().toString(),
            "boot",
            EventLog.to(new PrintStream(log, true, StandardCharsets.UTF_8)));
    daemon.start();
  }

  /** Starts an instance whose memory is limited. */
  static EdgeFixture withMemory(int megabytes) throws IOException {
    FakeStore store = FakeStore.start();
    return new EdgeFixture(
        "edge-1",
        store,
        store.address(),
        Places.UNKNOWN,
        Optional.empty(),
        OptionalInt.of(megabytes));
  }

  /**
   * Publishes a configuration with an idempotent, a non-idempotent and a streaming route, and one
   * customer.
   *
   * @param prepaid the prepaid tokens of the customer
   */
  void configure(int version, long prepaid) {
    configure(store, version, prepaid);
  }

  /** Publishes the configuration with a prepaid total in a store. */
  static void configure(FakeStore store, int version, long prepaid) {
    store.put("keyed.op", "config", document(version, ",\"prepaid\":" + prepaid));
  }

  private static String document(int version, String total) {
    String template =
        """
        {"version":%d,"routes":[%s,%s,%s,%s],
         "services":[{"name":"app","maxConnections":96},
          {"name":"llm","engine":{"slots":64,"kvCapacityTokens":400000,"stride":5}}],
         "tenants":[{"name":"customer","apiKeys":["key"]%s}]}
        """;
    return template.formatted(
        version,
        route("/status/", "idempotent", "app", 2, false),
        route("/vote/", "non_idempotent", "app", 1, false),
        route("/draft/", "streaming", "llm", 2, true),
        route(UNSERVED_PATH, "streaming", "none", 2, true),
        total);
  }

  /** Publishes the same configuration without the service of model replicas. */
  void configureWithoutModelService(int version, long prepaid) {
    String models =
        ",\n  {\"name\":\"llm\",\"engine\":"
            + "{\"slots\":64,\"kvCapacityTokens\":400000,\"stride\":5}}";
    String document = document(version, ",\"prepaid\":" + prepaid);
    store.put("keyed.op", "config", document.replace(models, ""));
  }

  /**
   * Publishes the same configuration with a customer that has no prepaid total, whose requests need
   * not wait until tokens are claimed, and with routes that let callers wait for long.
   */
  void configureWithoutTotal(int version) {
    String patient = document(version, "").replace("\"timeoutMs\":3000", "\"timeoutMs\":15000");
    store.put("keyed.op", "config", patient);
  }

  /**
   * Publishes the same configuration with other customers.
   *
   * @param customers the entries of the list of customers, in JSON
   */
  void configureCustomers(int version, String customers) {
    store.put(
        "keyed.op",
        "config",
        document(version, "").replace("{\"name\":\"customer\",\"apiKeys\":[\"key\"]}", customers));
  }

  /** Publishes the same configuration with time limits for headers and idle connections. */
  void configureWithLimits(int version, long headerMillis, long idleMillis) {
    String limits =
        "{\"limits\":{\"headerTimeoutMs\":%d,\"idleTimeoutMs\":%d},"
            .formatted(headerMillis, idleMillis);
    String patient = document(version, "").replace("\"timeoutMs\":3000", "\"timeoutMs\":15000");
    store.put("keyed.op", "config", limits + patient.strip().substring(1));
  }

  private static String route(
      String prefix, String type, String service, int attempts, boolean resume) {
    return ("{\"name\":\"r%s\",\"host\":\"h.example\",\"pathPrefix\":\"%s\",\"type\":\"%s\","
            + "\"timeoutMs\":3000,\"targetLatencyMs\":100,\"service\":\"%s\",\"maxAttempts\":%d,"
            + "\"streamResume\":%s}")
        .formatted(prefix, prefix, type, service, attempts, resume);
  }

  /** Writes the entry of a replica of version v1 to the store. */
  void register(String id, String service, FakeReplica replica, String state) {
    register(id, service, replica, state, "v1");
  }

  /** Writes the entry of a replica to the store. */
  void register(String id, String service, FakeReplica replica, String state, String version) {
    register(store, id, service, replica, state, version);
  }

  /** Writes the entry of a replica to a store. */
  static void register(
      FakeStore store,
      String id,
      String service,
      FakeReplica replica,
      String state,
      String version) {
    store.put(REPLICA_TOPIC, id, entry(service, replica.port(), version, state));
  }

  /** Writes the entry of a replica of version v1 to the store, whatever listens at its port. */
  void registerAt(String id, String service, int port) {
    store.put(REPLICA_TOPIC, id, entry(service, port, "v1", "ready"));
  }

  private static String entry(String service, int port, String version, String state) {
    return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"slots\":6,"
            + "\"version\":\"%s\",\"state\":\"%s\",\"born\":1}")
        .formatted(service, port, version, state);
  }

  /** Removes the entry of a replica from the store. */
  void unregister(String id) {
    store.put(REPLICA_TOPIC, id, "");
  }

  /**
   * Waits until the instance reports that it is ready and has logged each replica in the store,
   * also those that were registered through another instance's fixture.
   */
  void awaitReady() throws IOException, InterruptedException {
    long deadlineMillis = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
    while (!isReady()) {
      if (System.currentTimeMillis() > deadlineMillis) {
        throw new IllegalStateException("not ready: " + log);
      }
      Thread.sleep(20);
    }
    for (String id : store.keys(REPLICA_TOPIC)) {
      awaitLog("event=replica replica=" + id + " ");
    }
  }

  /** Returns whether the instance reports that it is ready. */
  boolean isReady() throws IOException {
    return get(settings.readiness(), "/").startsWith("HTTP/1.1 200");
  }

  /**
   * Waits until tokens of the customer are claimed. On a busy machine the first claim takes longer
   * than a request waits for it.
   */
  void awaitTokens() throws IOException {
    String prompt = "Snipeloom-Token-Counts: 1000,100\r\nSnipeloom-Prompt-Prefix: aa:1000\r\n";
    long deadlineMillis = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
    while (send(UNSERVED_PATH, "tokens", prompt).contains("budget.unavailable")) {
      if (System.currentTimeMillis() > deadlineMillis) {
        throw new IllegalStateException("no tokens claimed: " + log);
      }
    }
  }

  /** Waits until the log contains a text. */
  void awaitLog(String text) throws InterruptedException {
    awaitLines(line -> line.contains(text));
  }

  /** Waits until the log contains a line that matches a regular expression. */
  void awaitMatch(String line) throws InterruptedException {
    awaitLines(Pattern.compile(line).asMatchPredicate());
  }

  /** Returns whether the log contains a line. */
  boolean hasLogged(Predicate<String> expected) {
    return log.toString(StandardCharsets.UTF_8).lines().anyMatch(expected);
  }

  /** Returns how often each event and outcome was logged, to tell why a test failed. */
  Map<String, Long> counts() {
    return log.toString(StandardCharsets.UTF_8)
        .lines()
        .map(line -> line.replaceAll("^.*?event=(\\S+).*?( outcome=\\S+)?( reason=.*)?$", "$1$2"))
        .collect(Collectors.groupingBy(event -> event, TreeMap::new, Collectors.counting()));
  }

  /** Returns the lines of the log that contain one of the texts, to tell why a test failed. */
  String linesWith(String... texts) {
    return log.toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> Stream.of(texts).anyMatch(line::contains))
        .collect(Collectors.joining("\n"));
  }

  /** Returns the first line of the log that contains a text. */
  String lineWith(String text) {
    return log.toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains(text))
        .findFirst()
        .orElseThrow();
  }

  /** Waits until the instance has logged that a replica is draining. */
  void awaitDraining(String replica) throws InterruptedException {
    awaitLines(
        line -> line.contains("replica=" + replica + " ") && line.contains("state=DRAINING"));
  }

  private void awaitLines(Predicate<String> expected) throws InterruptedException {
    long deadlineMillis = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
    while (!hasLogged(expected)) {
      if (System.currentTimeMillis() > deadlineMillis) {
        throw new IllegalStateException("expected line not logged in " + log);
      }
      Thread.sleep(10);
    }
  }

  String metrics() throws IOException {
    return get(settings.metrics(), "/metrics");
  }

  /** Sends a request on a new connection and returns the complete response as text. */
  String send(String path, String attempt, String extraHeaders) throws IOException {
    return exchange(settings.callers(), request(path, attempt, extraHeaders, true));
  }

  /** Returns the address for callers. */
  InetSocketAddress callers() {
    return settings.callers();
  }

  /** Opens a connection to the address for callers. */
  Socket open() throws IOException {
    Socket socket = new Socket(settings.callers().getAddress(), settings.callers().getPort());
    socket.setSoTimeout(8_000);
    return socket;
  }

  static String request(String path, String attempt, String extraHeaders, boolean close) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: "
        + attempt
        + "\r\nSnipeloom-Credential: key\r\nSnipeloom-Deadline-Ms: 3000\r\n"
        + extraHeaders
        + (close ? "Connection: close\r\n" : "")
        + "Content-Length: 4\r\n\r\nbody";
  }

  /** Keeps the event loop busy for a time, as a long garbage collection does. */
  void blockLoop(long millis) {
    daemon.loop().execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  /** Keeps the event loop busy for a time in each of its rounds, until the test says otherwise. */
  void blockEachRound(long millis, BooleanSupplier goesOn) {
    daemon
        .loop()
        .execute(
            () -> {
              LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
              if (goesOn.getAsBoolean()) {
                var unused =
                    daemon
                        .loop()
                        .schedule(() -> blockEachRound(millis, goesOn), 0, TimeUnit.MILLISECONDS);
              }
            });
  }

  /** Returns what keeps the event loop busy in the middle of reading its connections. */
  BusyReading busyReading() {
    return new BusyReading(daemon.loop());
  }

  /** Opens a connection to the address for other instances. */
  Socket openPeer() throws IOException {
    Socket socket = new Socket(settings.loans().getAddress(), settings.loans().getPort());
    socket.setSoTimeout(8_000);
    return socket;
  }

  void stop() {
    daemon.stop();
  }

  /** Ends the instance as a crash does; the store goes on. */
  void halt() {
    daemon.halt();
  }

  @Override
  public void close() {
    daemon.halt();
    store.stop();
  }

  private static String get(InetSocketAddress address, String path) throws IOException {
    return exchange(address, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  }

  private static String exchange(InetSocketAddress address, String request) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(8_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return readAll(socket.getInputStream());
    }
  }

  static String readAll(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      in.transferTo(out);
    } catch (java.net.SocketException e) {
      // A connection reset also ends the response.
      return out.toString(StandardCharsets.ISO_8859_1);
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
  }
}
