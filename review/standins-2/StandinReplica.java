import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A replica as PROTOCOL.md tells it: it serves one request at a time on a connection, rejects what
 * is meant for another replica with 421, and writes its entry in the store at every heartbeat.
 */
final class StandinReplica implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final long BORN = System.currentTimeMillis();

  private final String id;
  private final String service;
  private final int slots;
  private final StandinStore store;
  private final RunRecord record;
  private final Work work;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean registered;
  private volatile boolean ended;

  /** What a replica does with a request. */
  interface Work {
    /** Runs the request and writes its whole answer, with the headers that each answer has. */
    void run(StandinReplica replica, Http request, String commonHeaders, OutputStream out)
        throws IOException, InterruptedException;
  }

  StandinReplica(
      String id, String service, int slots, StandinStore store, RunRecord record, Work work)
      throws IOException {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.store = store;
    this.record = record;
    this.work = work;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.8"));
    thread(this::accept);
  }

  /** Registers in the store, and goes on to write the entry at every heartbeat. */
  void register() {
    registered = true;
    thread(
        () -> {
          while (registered) {
            writeEntry();
            sleep(HEARTBEAT_MILLIS);
          }
        });
  }

  /** Writes the entry of a replica that is ready, once. */
  void writeEntry() {
    store.put(
        "keyed.servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.8:%d\",\"zone\":\"zone-a\",\"version\":\"v1\","
                + "\"slots\":%d,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":%d,"
                + "\"sequence\":%d}")
            .formatted(
                service, listener.getLocalPort(), slots, BORN, sequence.incrementAndGet()));
  }

  /** Removes the entry; the replica goes on to serve. Returns the end of the topic after it. */
  long removeEntry() {
    registered = false;
    long end = store.put("keyed.servers", id, "");
    record.line("replica %s: its entry is removed", id);
    return end;
  }

  String id() {
    return id;
  }

  private void accept() {
    try {
      while (!ended) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        thread(() -> serve(socket));
      }
    } catch (IOException e) {
      // The replica has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http request = Http.read(in); request != null; request = Http.read(in)) {
        request.body(in);
        answer(request, out);
      }
    } catch (IOException e) {
      // The caller closed the connection, or the replica has ended.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private void answer(Http request, OutputStream out) throws IOException, InterruptedException {
    String attempt = request.header("snipeloom-attempt-id");
    String common =
        "Snipeloom-Replica-Id: " + id + "\r\nSnipeloom-Attempt-Id: " + attempt + "\r\n";
    if (request.startLine().startsWith("GET /healthz")) {
      write(out, "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 0\r\n\r\n");
      return;
    }
    String expected = request.header("snipeloom-expect-replica");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(
          out,
          "HTTP/1.1 421 Misdirected Request\r\n"
              + common
              + "Snipeloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    record.line("replica %s: runs %s", id, attempt);
    work.run(this, request, common + "Snipeloom-Replica-Signature: s." + id + "\r\n", out);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task, "replica");
    thread.setDaemon(true);
    thread.start();
  }

  /** Ends the replica, as a process that exits. */
  @Override
  public void close() throws IOException {
    ended = true;
    registered = false;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
