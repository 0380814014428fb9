import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for a replica at one address, which can crash and start again. A boot listens first
 * and registers in the store then, and again with each heartbeat.
 */
final class Replica {
  static final long HEARTBEAT_MILLIS = 1200;

  final String id;
  final String service;
  final int port;
  private final Store store;
  private final Record record;
  private final Script script;
  private volatile Boot boot;

  /** What a boot does with a request that it takes. */
  interface Script {
    /** Writes the answer; returns whether the channel stays open. */
    boolean answer(Boot boot, Request request, OutputStream out)
        throws IOException, InterruptedException;
  }

  /** A request as it arrived. */
  static final class Request {
    String line;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body;

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String attempt() {
      return header("Snipeloom-Attempt-Id");
    }
  }

  /** One start of the replica. */
  final class Boot {
    final String version;
    final long born = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;
    private volatile String state = "ready";
    private int sequence;

    Boot(String version) throws IOException {
      this.version = version;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 100);
    }

    String replica() {
      return id;
    }

    private void accept() {
      while (!ended) {
        try {
          Socket channel = listener.accept();
          channel.setTcpNoDelay(true);
          channels.add(channel);
          daemon(() -> serve(channel));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void heartbeats(long firstMillis) {
      try {
        Thread.sleep(firstMillis);
        while (!ended) {
          register();
          Thread.sleep(HEARTBEAT_MILLIS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    synchronized void register() {
      sequence++;
      store.put(
          "keyed.servers",
          id,
          ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"dar-a\",\"version\":\"%s\","
                  + "\"slots\":64,\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%d,"
                  + "\"born\":%d}")
              .formatted(service, port, version, state, sequence, born));
      if (sequence == 1) {
        record.line("replica %s registers born=%d version=%s", id, born, version);
      }
    }

    private void serve(Socket channel) {
      try (channel) {
        InputStream in = new BufferedInputStream(channel.getInputStream());
        OutputStream out = channel.getOutputStream();
        Request request = read(in);
        while (request != null && !ended) {
          if (!request.header("Snipeloom-Expect-Replica").equals(id)) {
            head(out, 421, "Snipeloom-Not-Executed: 1\r\nContent-Length: 0\r\n", request);
          } else if (!script.answer(this, request, out)) {
            return;
          }
          request = read(in);
        }
      } catch (IOException e) {
        // The other end has closed the channel, or this boot has ended.
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        channels.remove(channel);
      }
    }

    private void end() throws IOException {
      ended = true;
      listener.close();
      for (Socket channel : channels) {
        channel.close();
      }
    }
  }

  Replica(String id, String service, Store store, Record record, Script script)
      throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.record = record;
    this.script = script;
    port = Ports.free();
  }

  /** Starts the replica; the new boot registers after some time. */
  void start(String version, long registersAfterMillis) throws IOException {
    Boot started = new Boot(version);
    boot = started;
    record.line("replica %s starts born=%d version=%s", id, started.born, version);
    daemon(started::accept);
    daemon(() -> started.heartbeats(registersAfterMillis));
  }

  /** Ends the boot as a crash does: it says nothing, and all its channels are closed. */
  void crash() throws IOException {
    record.line("replica %s crashes born=%d", id, boot.born);
    boot.end();
  }

  /** Writes the head of an answer with the headers that all answers have. */
  static void head(OutputStream out, int status, String headers, Request request)
      throws IOException {
    write(
        out,
        "HTTP/1.1 %d Status\r\nSnipeloom-Attempt-Id: %s\r\n%s\r\n"
            .formatted(status, request.attempt(), headers));
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static Request read(InputStream in) throws IOException {
    Request request = new Request();
    request.line = line(in);
    if (request.line.isEmpty()) {
      return null;
    }
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      request.headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    request.body = in.readNBytes(Integer.parseInt("0" + request.header("Content-Length")));
    return request;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task, "replica");
    thread.setDaemon(true);
    thread.start();
  }
}
