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
 * A stand-in for the platform's store in memory: keyed topics, conditional appends, reads that wait
 * and listings in pages, as PROTOCOL.md describes them. It loses nothing and answers in 4 ms.
 */
final class Store {
  private static final long ANSWER_MILLIS = 4;
  private static final int PAGE_ITEMS = 500;

  private final HttpServer server;
  private final Map<String, List<byte[]>> partitions = new HashMap<>();

  private Store(HttpServer server) {
    this.server = server;
  }

  static Store start() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Store store = new Store(HttpServer.create(any, 100));
    store.server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    store.server.createContext("/api/log-append", store::append);
    store.server.createContext("/api/log-read", store::read);
    store.server.createContext("/api/log-newest", store::newest);
    store.server.start();
    return store;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  /** Appends a record to partition 0 of a keyed topic, as the operator and the replicas do. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
    record.put((byte) name.length).put(name).put(bytes);
    records(topic + "/0").add(record.array());
    notifyAll();
  }

  private List<byte[]> records(String partition) {
    return partitions.computeIfAbsent(partition, key -> new ArrayList<>());
  }

  private void append(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
    pause();
    int status = 200;
    String answer;
    synchronized (this) {
      List<byte[]> records = records(query.get("topic") + "/" + query.get("part"));
      int offset = records.size();
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
        status = 412;
        answer = "{\"end\":%d}".formatted(offset);
      } else {
        while (body.hasRemaining()) {
          byte[] record = new byte[body.getInt()];
          body.get(record);
          records.add(record);
        }
        notifyAll();
        answer = "{\"offset\":%d,\"end\":%d}".formatted(offset, records.size());
      }
    }
    respond(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
  }

  private void read(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String partition = query.get("topic") + "/" + query.get("part");
    int from = Integer.parseInt(query.get("from"));
    long maxBytes = 1024 * Long.parseLong(query.getOrDefault("maxKb", "1024"));
    long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
    synchronized (this) {
      awaitRecord(partition, from, waitMillis);
    }
    pause();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int status = 200;
    synchronized (this) {
      List<byte[]> records = records(partition);
      if (from > records.size()) {
        status = 410;
        out.write("{\"first\":0}".getBytes(StandardCharsets.UTF_8));
      } else {
        out.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
        for (int i = from; i < records.size() && (i == from || out.size() < maxBytes); i++) {
          out.write(ByteBuffer.allocate(4).putInt(records.get(i).length).array());
          out.write(records.get(i));
        }
      }
    }
    respond(exchange, status, out.toByteArray());
  }

  private void awaitRecord(String partition, int from, long waitMillis) {
    long deadline = System.nanoTime() + waitMillis * 1_000_000;
    try {
      while (records(partition).size() <= from) {
        long remaining = (deadline - System.nanoTime()) / 1_000_000;
        if (remaining <= 0) {
          return;
        }
        wait(remaining);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void newest(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String after = query.getOrDefault("after", "");
    pause();
    String page;
    synchronized (this) {
      List<byte[]> records = records(query.get("topic") + "/" + query.get("part"));
      TreeMap<String, String> items = new TreeMap<>();
      for (int offset = 0; offset < records.size(); offset++) {
        byte[] record = records.get(offset);
        int keyEnd = 1 + Byte.toUnsignedInt(record[0]);
        String key = new String(record, 1, keyEnd - 1, StandardCharsets.UTF_8);
        items.remove(key);
        if (keyEnd < record.length) {
          byte[] value = Arrays.copyOfRange(record, keyEnd, record.length);
          items.put(
              key,
              "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                  .formatted(key, Base64.getEncoder().encodeToString(value), offset));
        }
      }
      List<String> rest = new ArrayList<>(items.tailMap(after, false).values());
      boolean more = rest.size() > PAGE_ITEMS;
      page =
          "{\"items\":[%s],\"hasMore\":%b,\"end\":%d}"
              .formatted(
                  String.join(",", more ? rest.subList(0, PAGE_ITEMS) : rest),
                  more,
                  records.size());
    }
    respond(exchange, 200, page.getBytes(StandardCharsets.UTF_8));
  }

  private static void pause() {
    try {
      Thread.sleep(ANSWER_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Store-Era", "1");
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
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
