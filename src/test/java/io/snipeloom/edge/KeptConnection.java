package io.snipeloom.edge;

import io.snipeloom.edge.SentRequest.Answer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A caller's connection, on which one request follows the other until it is gone. Some bodies end
 * late. Confined to one thread.
 */
final class KeptConnection implements AutoCloseable {
  /** The time limit of each request, from its head on. */
  static final int LIMIT_MILLIS = 10_000;

  /** The share of the requests whose body ends late. */
  private static final double LATE_BODIES = 0.3;

  private static final int MAX_BODY_DELAY_MILLIS = 2_500;

  private final String process;
  private final Socket socket;
  private final Random random;

  /**
   * Takes over an open connection.
   *
   * @param process the process at its other end
   */
  KeptConnection(String process, Socket socket, Random random) throws IOException {
    this.process = process;
    this.socket = socket;
    this.random = random;
    socket.setSoTimeout(LIMIT_MILLIS * 2);
  }

  /**
   * Sends a request and reads its answer.
   *
   * @throws IOException if the connection was gone before the last byte was written
   */
  SentRequest send(String attempt, PacedRequest request) throws IOException, InterruptedException {
    final long begunNanos = System.nanoTime();
    write(request.head(attempt, LIMIT_MILLIS) + "bo");
    if (random.nextDouble() < LATE_BODIES) {
      TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_BODY_DELAY_MILLIS));
    }
    write("dy");
    long sentNanos = System.nanoTime();
    AnswerReader reader = new AnswerReader();
    try {
      reader.read(socket.getInputStream());
    } catch (IOException e) {
      // A reset ends the answer like a close; what has come of it is judged.
      reader.whole = false;
    }
    return new SentRequest(
        process, attempt, request, begunNanos, sentNanos, System.nanoTime(), reader.answer());
  }

  private void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Reads one answer with a length or in chunks. */
  private static final class AnswerReader {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private int length = -1;
    private double retryAfterSeconds;
    private boolean whole;

    private Answer answer() {
      String text = body.toString(StandardCharsets.ISO_8859_1);
      return new Answer(status, whole, retryAfterSeconds, text);
    }

    private void read(InputStream in) throws IOException {
      String first = line(in);
      if (first.isEmpty()) {
        return;
      }
      status = Integer.parseInt(first.substring(9, 12));
      for (String header = line(in); !header.isEmpty(); header = line(in)) {
        readHeader(header.toLowerCase(Locale.ROOT));
      }
      whole = length >= 0 ? readBody(in, length) : readChunks(in);
    }

    private void readHeader(String header) {
      String value = header.substring(header.indexOf(':') + 1).trim();
      if (header.startsWith("content-length:")) {
        length = Integer.parseInt(value);
      } else if (header.startsWith("retry-after:")) {
        retryAfterSeconds = Double.parseDouble(value);
      }
    }

    private boolean readChunks(InputStream in) throws IOException {
      while (true) {
        String size = line(in);
        if (size.isEmpty()) {
          return false;
        }
        int bytes = Integer.parseInt(size, 16);
        if (!readBody(in, bytes) || in.readNBytes(2).length < 2) {
          return false;
        }
        if (bytes == 0) {
          return true;
        }
      }
    }

    private boolean readBody(InputStream in, int bytes) throws IOException {
      byte[] part = in.readNBytes(bytes);
      body.writeBytes(part);
      return part.length == bytes;
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
