package io.snipeloom.edge;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A caller that sends one request after the other on one connection until the connection is gone.
 *
 * <p>Some bodies end late. Each path ends with the time that the replica works, in milliseconds.
 * Confined to the thread that runs it.
 */
final class KeptCaller implements Callable<Void> {
  /** The share of the requests whose body ends late. */
  private static final double LATE_BODIES = 0.3;

  private static final int MAX_BODY_DELAY_MILLIS = 2_500;
  private static final int MAX_PAUSE_MILLIS = 60;
  private static final int LIMIT_MILLIS = 10_000;

  private final String name;
  private final Socket socket;
  private final Random random;
  private final int longestStreamMillis;
  private final Consumer<Sent> sink;
  private int count;

  /** A kind of request, by the route that it takes. */
  enum Kind {
    /** A stream that its caller can resume. */
    STREAM("/draft/"),
    /** A stream that cannot be resumed. */
    ONCE("/once/"),
    /** A call that must not run twice. */
    VOTE("/vote/"),
    /** A call that may be repeated. */
    LOOK("/status/");

    private static final List<Kind> MIX = List.of(STREAM, STREAM, STREAM, ONCE, VOTE, LOOK);

    private final String path;

    Kind(String path) {
      this.path = path;
    }

    private static Kind draw(Random random) {
      return MIX.get(random.nextInt(MIX.size()));
    }

    private int workMillis(Random random, int longestStreamMillis) {
      return 10 + random.nextInt(this == STREAM || this == ONCE ? longestStreamMillis : 50);
    }
  }

  /**
   * A request and how it ended.
   *
   * @param attempt its attempt ID
   * @param kind its kind
   * @param sentNanos when its last byte was written
   * @param endedNanos when its answer or its connection ended
   * @param status the status of the answer, 0 if none began
   * @param whole whether the answer is complete
   */
  record Sent(
      String attempt, Kind kind, long sentNanos, long endedNanos, int status, boolean whole) {
    /** Returns whether the instance refused the request as not run. */
    boolean isRefused() {
      return status == 503 && whole;
    }
  }

  KeptCaller(String name, Socket socket, long seed, int longestStreamMillis, Consumer<Sent> sink) {
    this.name = name;
    this.socket = socket;
    this.random = new Random(seed);
    this.longestStreamMillis = longestStreamMillis;
    this.sink = sink;
  }

  @Override
  public Void call() throws InterruptedException {
    try (socket) {
      socket.setSoTimeout(LIMIT_MILLIS * 2);
      while (sendNext()) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      }
    } catch (IOException e) {
      // The connection is gone; the request on it, if any, was reported.
      return null;
    }
    return null;
  }

  /** Sends a request and reads its answer; returns whether the connection may be used again. */
  private boolean sendNext() throws IOException, InterruptedException {
    Kind kind = Kind.draw(random);
    String attempt = name + "-" + count++;
    long workMillis = kind.workMillis(random, longestStreamMillis);
    write(head(kind, attempt, workMillis) + "bo");
    if (random.nextDouble() < LATE_BODIES) {
      TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_BODY_DELAY_MILLIS));
    }
    write("dy");
    long sentNanos = System.nanoTime();
    Answer answer = new Answer();
    try {
      answer.read(socket.getInputStream());
    } catch (IOException e) {
      // A reset ends the answer like a close; what has come of it is judged.
      answer.whole = false;
    }
    sink.accept(new Sent(attempt, kind, sentNanos, System.nanoTime(), answer.status, answer.whole));
    return answer.whole;
  }

  private void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String head(Kind kind, String attempt, long workMillis) {
    return "POST "
        + kind.path
        + workMillis
        + " HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: "
        + attempt
        + "\r\nSnipeloom-Credential: key\r\nSnipeloom-Deadline-Ms: "
        + LIMIT_MILLIS
        + "\r\nSnipeloom-Token-Counts: 100,100\r\nSnipeloom-Prompt-Prefix: aa:10,"
        + Integer.toHexString(attempt.hashCode())
        + ":90\r\nContent-Length: 4\r\n\r\n";
  }

  /** Reads one answer with a length or in chunks. */
  private static final class Answer {
    private int status;
    private boolean whole;

    private void read(InputStream in) throws IOException {
      String first = line(in);
      if (first.isEmpty()) {
        return;
      }
      status = Integer.parseInt(first.substring(9, 12));
      int length = -1;
      for (String header = line(in); !header.isEmpty(); header = line(in)) {
        if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
        }
      }
      whole = length >= 0 ? in.readNBytes(length).length == length : readChunks(in);
    }

    private static boolean readChunks(InputStream in) throws IOException {
      while (true) {
        String size = line(in);
        if (size.isEmpty()) {
          return false;
        }
        int bytes = Integer.parseInt(size, 16);
        if (in.readNBytes(bytes + 2).length < bytes + 2) {
          return false;
        }
        if (bytes == 0) {
          return true;
        }
      }
    }

    private static String line(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
        line.write(b);
      }
      return line.toString(StandardCharsets.ISO_8859_1).strip();
    }
  }
}
