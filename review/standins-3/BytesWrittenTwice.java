import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers on kept channels read long answers over a slow link. Exits with 1 if a caller finds bytes
 * on its channel that are no answer, or an answer that belongs to another request.
 */
final class BytesWrittenTwice {
  private static final int CALLERS = 40;
  private static final int REQUESTS = 20;

  /** Long answers have so many bytes and up to as many more, by their request. */
  private static final int LEAST_LONG_BYTES = 100_000;

  private static final int MORE_LONG_BYTES = 500_000;

  /** Answers that are written at once. */
  private static final int LEAST_SHORT_BYTES = 2_000;

  private static final int MORE_SHORT_BYTES = 60_000;
  private static final int WINDOW_BYTES = 16_384;

  /** The pace of the slow link: so many bytes each 2 ms, 8 MB a second at most. */
  private static final int PACE_BYTES = 16_384;

  private static final long PACE_MILLIS = 2;
  private static final int LIMIT_MILLIS = 10_000;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"r-file","host":"h.example","pathPrefix":"/file/",
       "type":"non_idempotent","timeoutMs":10000,"targetLatencyMs":800,"priority":1,
       "service":"desk","maxAttempts":1,"anonymous":false,"sessionAffinity":false,
       "streamResume":false}],
       "services":[{"name":"desk","healthPath":"/healthz","maxConnections":96,"protocol":"h1",
       "tls":false}],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
       "idleTimeoutMs":15000},
       "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}
      """;

  private final Record record;
  private final boolean longAnswers;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();

  private BytesWrittenTwice(Record record, boolean longAnswers) {
    this.record = record;
    this.longAnswers = longAnswers;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path temporary = Files.createTempDirectory("review-3-");
    int exit = 2;
    try (Record record = new Record(Path.of(args[1], "record.txt"))) {
      exit = new BytesWrittenTwice(record, trouble).run(Path.of(args[0]), temporary);
      record.line("exit %d", exit);
    } catch (IOException | InterruptedException e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private int run(Path repository, Path temporary) throws IOException, InterruptedException {
    Store store = Store.start();
    store.put("keyed.op", "config", CONFIGURATION);
    for (int i = 0; i < 3; i++) {
      new Replica("i-7f3a91c" + i, "desk", store, record, this::answer).start("1", 0);
    }
    try (Edge edge = new Edge("edge-dar-a-1", repository, temporary, store)) {
      edge.start();
      edge.awaitReady();
      Thread.sleep(3_000);
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        int number = i;
        Thread caller = new Thread(() -> call(edge, number));
        caller.start();
        callers.add(caller);
      }
      for (Thread caller : callers) {
        caller.join();
      }
      String result =
          "%d answers as they were made, %d channels with bytes that are no answer"
              .formatted(answered.get(), broken.get());
      record.line("%s", result);
      System.out.println(result);
      return broken.get() > 0 ? 1 : 0;
    }
  }

  /** A sound replica: its answer names the request, line by line. */
  private boolean answer(Replica.Boot boot, Replica.Request request, OutputStream out)
      throws IOException {
    byte[] body = body(request.attempt());
    Replica.head(
        out,
        200,
        "Snipeloom-Replica-Signature: s\r\nContent-Length: %d\r\n".formatted(body.length),
        request);
    out.write(body);
    out.flush();
    return true;
  }

  private byte[] body(String attempt) {
    int bytes =
        longAnswers
            ? LEAST_LONG_BYTES + Math.floorMod(attempt.hashCode(), MORE_LONG_BYTES)
            : LEAST_SHORT_BYTES + Math.floorMod(attempt.hashCode(), MORE_SHORT_BYTES);
    StringBuilder body = new StringBuilder();
    for (int line = 0; body.length() < bytes; line++) {
      body.append("%s line %d\n".formatted(attempt, line));
    }
    return body.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private void call(Edge edge, int number) {
    String last = "";
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(WINDOW_BYTES);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), edge.port), 1_000);
      socket.setSoTimeout(LIMIT_MILLIS);
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      for (int i = 0; i < REQUESTS; i++) {
        String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        String head =
            "POST /file/%d HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: %s\r\n"
                    .formatted(number, id)
                + "Snipeloom-Deadline-Ms: %d\r\n".formatted(LIMIT_MILLIS)
                + "Snipeloom-Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\n{}";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        String found = readAnswer(in, id);
        record.line("caller %d request %s (after %s): %s", number, id, last, found);
        if (!found.equals("whole")) {
          broken.incrementAndGet();
          return;
        }
        answered.incrementAndGet();
        last = id;
      }
    } catch (IOException e) {
      record.line("caller %d: %s", number, e);
    }
  }

  /** Reads an answer at the pace of the link, and tells what it is. */
  private String readAnswer(InputStream in, String id) throws IOException {
    String status = line(in);
    if (!status.startsWith("HTTP/1.1 200 ")) {
      return "instead of a status line: " + status.substring(0, Math.min(80, status.length()));
    }
    int length = 0;
    String attempt = "";
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      String lower = header.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
      } else if (lower.startsWith("snipeloom-attempt-id:")) {
        attempt = header.substring(header.indexOf(':') + 1).trim();
      }
    }
    byte[] expected = body(id);
    byte[] body = new byte[length];
    int read = 0;
    while (read < length) {
      int bytes = in.read(body, read, Math.min(PACE_BYTES, length - read));
      if (bytes < 0) {
        return "the answer ends early";
      }
      read += bytes;
      pause();
    }
    boolean own = attempt.equals(id) && Arrays.equals(body, expected);
    return own ? "whole" : "another answer";
  }

  private void pause() {
    try {
      Thread.sleep(PACE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    while (b >= 0 && b != '\n') {
      line.write(b);
      b = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }
}
