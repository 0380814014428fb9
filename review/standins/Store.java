import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store: keyed topics, appends with a condition, reads that wait, and a
 * return from an older copy of itself. Each call takes 4 ms, as on the sites.
 */
final class Store {
  private static final int PAGE_ITEMS = 500;
  private static final long CALL_MILLIS = 4;

  private final HttpServer server;
  private final Map<String, List<byte[]>> partitions = new HashMap<>();
  private Map<String, List<byte[]>> copy = Map.of();
  private long era = 1;
  private boolean away;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/api/log-append", this::append);
    server.createContext("/api/log-read", this::read);
    server.createContext("/api/log-newest", this::newest);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Appends a record of an operator or a replica to partition 0 of a topic; "" drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
    record.put((byte) name.length).put(name).put(bytes);
    records(topic + "/0").add(record.array());
    notifyAll();
  }

  /** Takes the copy from which {@link #comeBackFromCopy} comes back. */
  synchronized void takeCopy() {
    copy = new HashMap<>();
    partitions.forEach((name, records) -> copy.put(name, new ArrayList<>(records)));
  }

  /** The store is away from now on: calls get 503, and nothing is done. */
  synchronized void goAway() {
    away = true;
    notifyAll();
  }

  /**
   * Comes back from the copy. The era rises, and what the operator and the replicas wrote is written
   * again.
   */
  synchronized void comeBackFromCopy() {
    Map<String, List<byte[]>> lost = new HashMap<>(partitions);
    partitions.clear();
    copy.forEach((name, records) -> partitions.put(name, new ArrayList<>(records)));
    for (String topic : List.of("keyed.op/0", "keyed.servers/0")) {
      List<byte[]> before = lost.getOrDefault(topic, List.of());
      List<byte[]> now = records(topic);
      now.addAll(before.subList(Math.min(now.size(), before.size()), before.size()));
    }
    era++;
    away = false;
    notifyAll();
  }

  void stop() {
    server.stop(0);
  }

  private List<byte[]> records(String partition) {
    return partitions.computeIfAbsent(partition, key -> new ArrayList<>());
  }

  private void append(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
    pause(CALL_MILLIS);
    int status = 200;
    byte[] answer;
    synchronized (this) {
      List<byte[]> records = records(query.get("topic") + "/" + query.get("part"));
      int offset = records.size();
      if (away) {
        status = 503;
        answer = new byte[0];
      } else if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
        status = 412;
        answer = json("{\"end\":%d}".formatted(offset));
      } else {
        while (body.hasRemaining()) {
          byte[] record = new byte[body.getInt()];
          body.get(record);
          records.add(record);
        }
        answer = json("{\"offset\":%d,\"end\":%d}".formatted(offset, records.size()));
        notifyAll();
      }
    }
    respond(exchange, status, answer);
  }

  private void read(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    exchange.getRequestBody().readAllBytes();
    pause(CALL_MILLIS);
    int from = Integer.parseInt(query.get("from"));
    long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
    int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("maxKb", "1024"));
    String partition = query.get("topic") + "/" + query.get("part");
    int status = 200;
    byte[] answer;
    synchronized (this) {
      awaitRecord(partition, from, waitMillis);
      List<byte[]> records = records(partition);
      if (away) {
        status = 503;
        answer = new byte[0];
      } else if (from > records.size()) {
        status = 410;
        answer = json("{\"first\":0}");
      } else {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
        for (int i = from; i < records.size(); i++) {
          byte[] record = records.get(i);
          if (i > from && out.size() + 4 + record.length > maxBytes) {
            break;
          }
          out.write(ByteBuffer.allocate(4).putInt(record.length).array());
          out.write(record);
        }
        answer = out.toByteArray();
      }
    }
    respond(exchange, status, answer);
  }

  private void awaitRecord(String partition, int from, long waitMillis) {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    try {
      while (!away && records(partition).size() == from) {
        long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (remainingMillis <= 0) {
          return;
        }
        wait(remainingMillis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void newest(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    exchange.getRequestBody().readAllBytes();
    pause(CALL_MILLIS);
    int status = 200;
    byte[] answer;
    synchronized (this) {
      if (away) {
        status = 503;
        answer = new byte[0];
      } else {
        answer = json(listing(query));
      }
    }
    respond(exchange, status, answer);
  }

  private String listing(Map<String, String> query) {
    List<byte[]> records = records(query.get("topic") + "/" + query.get("part"));
    TreeMap<String, String> newest = new TreeMap<>();
    for (int offset = 0; offset < records.size(); offset++) {
      byte[] record = records.get(offset);
      String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
      byte[] value = Arrays.copyOfRange(record, 1 + record[0], record.length);
      newest.remove(key);
      if (value.length > 0) {
        newest.put(
            key,
            "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                .formatted(key, Base64.getEncoder().encodeToString(value), offset));
      }
    }
    Map<String, String> rest =
        query.containsKey("after") ? newest.tailMap(query.get("after"), false) : newest;
    List<String> items = rest.values().stream().limit(PAGE_ITEMS).toList();
    return "{\"items\":[%s],\"hasMore\":%s,\"end\":%d}"
        .formatted(String.join(",", items), rest.size() > PAGE_ITEMS, records.size());
  }

  private void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
    synchronized (this) {
      exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
    }
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static byte[] json(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String pair : exchange.getRequestURI().getQuery().split("&", -1)) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return query;
  }
}
