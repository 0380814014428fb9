import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a replica, of a model service or of a plain one. It registers in the store, writes
 * there every heartbeat, and runs what it is sent.
 */
final class Replica {
  static final int TOKENS_PER_EVENT = 5;
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** A replica in trouble spoils one in so many of its answers, which is a share of 0.03. */
  private static final int ANSWERS_PER_SPOILT_ONE = 33;

  /** 800 Mbit/s; the link of an entry machine carries 1,000. */
  private static final double ENDLESS_BYTES_PER_NANO = 0.1;

  private static final int ENDLESS_CHUNK_BYTES = 16;

  final String id;
  final String service;
  final String version;
  private final Store store;
  private final Record record;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private volatile boolean registered;
  private volatile boolean crashed;
  private int sequence;

  /** How a stream is written. */
  volatile long firstEventMillis = 40;

  volatile long eventMillis = 20;
  volatile long workMillis = 15;

  /** Whether it sends bytes that are no answer, without end, in place of some of its answers. */
  volatile boolean inTrouble;

  private final AtomicInteger answers = new AtomicInteger();
  final AtomicInteger endlessAnswers = new AtomicInteger();
  final AtomicLong endlessBytes = new AtomicLong();

  /** A request that began to run here. */
  record Run(String attempt, double atSeconds, long inputTokens) {}

  Replica(String id, String service, String version, Store store, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.version = version;
    this.store = store;
    this.record = record;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  /** Registers and goes on to write the entry. */
  void register() {
    registered = true;
    record.line("replica %s (%s %s) registers", id, service, version);
    writeEntry();
    start(
        () -> {
          while (registered) {
            sleep(HEARTBEAT_MILLIS);
            synchronized (this) {
              if (registered) {
                writeEntry();
              }
            }
          }
        });
  }

  private synchronized void writeEntry() {
    sequence++;
    store.put(
        "keyed.servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"dar-a\",\"version\":\"%s\","
                + "\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":%d,"
                + "\"born\":%d}")
            .formatted(service, listener.getLocalPort(), version, sequence, born));
  }

  /** The entry is removed because the replica leaves. It goes on to serve for now. */
  synchronized void leave() {
    registered = false;
    store.put("keyed.servers", id, "");
    record.line("the entry of replica %s is removed", id);
  }

  /** Crashes: it stops to write its entry, and all its channels are reset. */
  void crash() throws IOException {
    crashed = true;
    registered = false;
    listener.close();
    for (Socket channel : channels) {
      channel.setSoLinger(true, 0);
      channel.close();
    }
    record.line("replica %s crashes", id);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        channels.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (serveOne(in, socket)) {
        // The next request of the channel follows.
      }
    } catch (IOException e) {
      // The channel was closed.
    } finally {
      channels.remove(socket);
    }
  }

  private boolean serveOne(InputStream in, Socket socket) throws IOException {
    String line = line(in);
    if (line.isEmpty()) {
      return false;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
    String attempt = headers.getOrDefault("Snipeloom-Attempt-Id", "");
    if (!id.equals(headers.getOrDefault("Snipeloom-Expect-Replica", id))) {
      write(
          socket,
          "HTTP/1.1 421 Misdirected Request\r\nSnipeloom-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
              .formatted(attempt));
      return true;
    }
    String counts = headers.get("Snipeloom-Token-Counts");
    if (counts == null) {
      answer(socket, attempt, line);
    } else {
      stream(socket, attempt, headers, counts.split(","));
    }
    return true;
  }

  private void answer(Socket socket, String attempt, String line) throws IOException {
    runs.add(new Run(attempt, record.seconds(), 0));
    record.line("replica %s runs %s (%s)", id, attempt, line);
    sleep(workMillis);
    if (inTrouble && answers.incrementAndGet() % ANSWERS_PER_SPOILT_ONE == 0) {
      record.line("replica %s sends bytes without end to %s", id, attempt);
      sendWithoutEnd(socket);
      return;
    }
    write(
        socket,
        ("HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: %s\r\nSnipeloom-Replica-Signature: %s\r\n"
                + "Keep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok")
            .formatted(attempt, id));
  }

  /** Sends a body without end, at a rate below that of the link, until the caller closes. */
  private void sendWithoutEnd(Socket socket) throws IOException {
    endlessAnswers.incrementAndGet();
    String piece =
        "%x\r\n%s\r\n".formatted(ENDLESS_CHUNK_BYTES, "x".repeat(ENDLESS_CHUNK_BYTES));
    byte[] block = piece.repeat(65_536 / piece.length()).getBytes(StandardCharsets.ISO_8859_1);
    long startNanos = System.nanoTime();
    long sent = 0;
    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (true) {
      socket.getOutputStream().write(block);
      sent += block.length;
      endlessBytes.addAndGet(block.length);
      long dueNanos = (long) (sent / ENDLESS_BYTES_PER_NANO);
      long earlyMillis = (dueNanos - (System.nanoTime() - startNanos)) / 1_000_000;
      if (earlyMillis > 0) {
        sleep(earlyMillis);
      }
    }
  }

  private void stream(Socket socket, String attempt, Map<String, String> headers, String[] counts)
      throws IOException {
    long input = Long.parseLong(counts[0]);
    long events = Long.parseLong(counts[1]) / TOKENS_PER_EVENT;
    long after = Long.parseLong(headers.getOrDefault("Last-Event-Id", "0"));
    sleep(firstEventMillis);
    runs.add(new Run(attempt, record.seconds(), input));
    record.line("replica %s (%s) runs %s after event %d", id, version, attempt, after);
    write(
        socket,
        ("HTTP/1.1 200 OK\r\nSnipeloom-Attempt-Id: %s\r\nSnipeloom-Replica-Signature: %s\r\n"
                + "Snipeloom-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                + "Keep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n")
            .formatted(attempt, id));
    for (long event = after + 1; event <= events && !crashed; event++) {
      String text = "id: %d\ndata: %s %s\n\n".formatted(event, id, version);
      write(socket, "%x\r\n%s\r\n".formatted(text.length(), text));
      sleep(eventMillis);
    }
    write(socket, "0\r\n\r\n");
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "replica");
    thread.setDaemon(true);
    thread.start();
  }
}
