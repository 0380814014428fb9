import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * The platform's store in memory, as PROTOCOL.md tells it: log-append, log-read and log-newest.
 *
 * <p>Each machine reaches it at an address of its own, so that it can turn single machines away
 * with 503. A drill brings it back from a copy; {@code Store-Era} rises by one then. Thread-safe.
 */
final class StandinStore implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;
  private static final long ANSWER_MILLIS = 4;

  private final RunRecord record;
  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<String, List<byte[]>> partitions = new HashMap<>();
  private final Set<Integer> turnedAway = new HashSet<>();
  private Map<String, List<byte[]>> copy = Map.of();
  private long era = 1;
  private boolean away;
  private Consumer<ReadCall> onRead = call -> {};

  /** A read that was answered. */
  record ReadCall(int port, String topic, long from) {}

  /** Creates a store without addresses. */
  StandinStore(RunRecord record) {
    this.record = record;
  }

  /** Opens an address for one machine. */
  InetSocketAddress open() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getByName("127.0.0.9"), 0);
    HttpServer server = HttpServer.create(any, 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/api/log-append", exchange -> answer(exchange, this::append));
    server.createContext("/api/log-read", exchange -> answer(exchange, this::read));
    server.createContext("/api/log-newest", exchange -> answer(exchange, this::newest));
    server.start();
    servers.add(server);
    return server.getAddress();
  }

  /** Sets what is told of the reads that ask for records from some offset on. */
  synchronized void onRead(Consumer<ReadCall> listener) {
    onRead = listener;
  }

  /** Writes a record as the operator or a replica does; an empty value removes the key. */
  synchronized long put(String topic, String key, String value) {
    if (away) {
      return -1;
    }
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer entry = ByteBuffer.allocate(1 + name.length + bytes.length);
    entry.put((byte) name.length).put(name).put(bytes);
    List<byte[]> records = records(topic, 0);
    records.add(entry.array());
    notifyAll();
    return records.size();
  }

  /** Keeps a copy, from which the store comes back after a drill. */
  synchronized void copy() {
    copy = new HashMap<>();
    partitions.forEach((name, records) -> copy.put(name, new ArrayList<>(records)));
    record.line("store: copy taken");
  }

  /** Begins a drill: the store answers 503 until it is back. */
  synchronized void goAway() {
    away = true;
    notifyAll();
    record.line("store: away");
  }

  /** Ends a drill: what was written since the copy is gone, and the era rises by one. */
  synchronized void comeBack() {
    partitions.clear();
    copy.forEach((name, records) -> partitions.put(name, new ArrayList<>(records)));
    era++;
    away = false;
    notifyAll();
    record.line("store: back from the copy, Store-Era %d", era);
  }

  /** Turns the machine at an address away with 503, or serves it again. */
  synchronized void turnAway(InetSocketAddress address, boolean refused) {
    if (refused) {
      turnedAway.add(address.getPort());
    } else {
      turnedAway.remove(address.getPort());
    }
    notifyAll();
    record.line("store: %s the machine at %s", refused ? "turns away" : "serves", address);
  }

  private interface Call {
    Answer apply(int port, Map<String, String> query, byte[] body) throws InterruptedException;
  }

  private record Answer(int status, byte[] body) {
    static Answer json(int status, String text) {
      return new Answer(status, text.getBytes(StandardCharsets.UTF_8));
    }
  }

  private void answer(HttpExchange exchange, Call call) throws IOException {
    int port = exchange.getLocalAddress().getPort();
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      Thread.sleep(ANSWER_MILLIS);
      Answer answer;
      long answerEra;
      synchronized (this) {
        answer = isRefused(port) ? refusal() : call.apply(port, query(exchange), body);
        if (isRefused(port)) {
          answer = refusal();
        }
        answerEra = era;
      }
      exchange.getResponseHeaders().set("Store-Era", Long.toString(answerEra));
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
      exchange.getResponseBody().write(answer.body());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Answer refusal() {
    return Answer.json(503, "{}");
  }

  private boolean isRefused(int port) {
    return away || turnedAway.contains(port);
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private List<byte[]> records(String topic, int part) {
    return partitions.computeIfAbsent(topic + "/" + part, name -> new ArrayList<>());
  }

  private List<byte[]> records(Map<String, String> query) {
    return records(query.get("topic"), Integer.parseInt(query.get("part")));
  }

  private Answer append(int port, Map<String, String> query, byte[] body) {
    String topic = query.get("topic");
    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
      return Answer.json(403, "{}");
    }
    List<byte[]> records = records(query);
    int offset = records.size();
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
      return Answer.json(412, "{\"end\":" + offset + "}");
    }
    ByteBuffer content = ByteBuffer.wrap(body);
    while (content.hasRemaining()) {
      byte[] entry = new byte[content.getInt()];
      content.get(entry);
      records.add(entry);
    }
    notifyAll();
    return Answer.json(200, "{\"offset\":" + offset + ",\"end\":" + records.size() + "}");
  }

  private Answer read(int port, Map<String, String> query, byte[] body)
      throws InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    onRead.accept(new ReadCall(port, query.get("topic"), from));
    long waitMillis = Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    long sentEra = era;
    while (!isRefused(port) && era == sentEra && records(query).size() == from) {
      long millis = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (millis <= 0) {
        break;
      }
      wait(millis);
    }
    List<byte[]> records = records(query);
    if (from > records.size()) {
      return Answer.json(410, "{\"first\":0}");
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
    long maxBytes = 1024 * Long.parseLong(query.getOrDefault("maxKb", "1024"));
    for (byte[] entry : records.subList(from, records.size())) {
      if (out.size() + entry.length > maxBytes) {
        break;
      }
      out.writeBytes(ByteBuffer.allocate(4).putInt(entry.length).array());
      out.writeBytes(entry);
    }
    return new Answer(200, out.toByteArray());
  }

  private Answer newest(int port, Map<String, String> query, byte[] body) {
    List<byte[]> records = records(query);
    TreeMap<String, String> items = new TreeMap<>();
    for (int offset = 0; offset < records.size(); offset++) {
      byte[] entry = records.get(offset);
      String key = new String(entry, 1, entry[0], StandardCharsets.UTF_8);
      int valueLength = entry.length - 1 - entry[0];
      if (valueLength == 0) {
        items.remove(key);
        continue;
      }
      byte[] value = new byte[valueLength];
      System.arraycopy(entry, 1 + entry[0], value, 0, valueLength);
      items.put(
          key,
          "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
              .formatted(key, Base64.getEncoder().encodeToString(value), offset));
    }
    List<String> page =
        items.tailMap(query.getOrDefault("after", ""), false).values().stream().toList();
    boolean more = page.size() > PAGE_ITEMS;
    String listed = String.join(",", more ? page.subList(0, PAGE_ITEMS) : page);
    return Answer.json(
        200, "{\"items\":[" + listed + "],\"hasMore\":" + more + ",\"end\":" + records.size() + "}");
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
  }
}
