import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for requesters: each request is one attempt on a channel of its own. */
final class Caller {
  private static final AtomicInteger NUMBERS = new AtomicInteger();
  private static final int TIME_LIMIT_MILLIS = 8_000;

  private Caller() {}

  /** What a requester got. Status 0 stands for a closed channel. */
  static final class Answer {
    String attempt;
    int status;
    boolean whole;
    String signature = "";
    double sentSeconds;
    double tookSeconds;
    final List<String> events = new ArrayList<>();
    long lastEvent;
    double retryAfterSeconds;
  }

  static String newAttempt(String prefix) {
    return "%s-%05d".formatted(prefix, NUMBERS.incrementAndGet());
  }

  /**
   * Sends a request and reads its answer.
   *
   * @param headers further header lines, each with its end of line
   */
  static Answer send(Edge edge, String path, String attempt, String headers, Record record) {
    return send(edge, path, attempt, headers, TIME_LIMIT_MILLIS, TIME_LIMIT_MILLIS, record);
  }

  /**
   * Sends a request and reads its answer.
   *
   * @param limitMillis the time limit that the request states
   * @param patienceMillis how long the requester stays without a byte of the answer
   */
  static Answer send(
      Edge edge,
      String path,
      String attempt,
      String headers,
      int limitMillis,
      int patienceMillis,
      Record record) {
    Answer answer = new Answer();
    answer.attempt = attempt;
    answer.sentSeconds = record.seconds();
    record.line("%s sent to %s: POST %s", attempt, edge.name, path);
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(edge.ip, edge.front), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(patienceMillis);
      String request =
          "POST "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nSnipeloom-Attempt-Id: "
              + attempt
              + "\r\nSnipeloom-Deadline-Ms: "
              + limitMillis
              + "\r\n"
              + headers
              + "Content-Length: 8\r\n\r\n"
              + body(attempt, headers);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      read(new BufferedInputStream(socket.getInputStream()), answer);
    } catch (IOException e) {
      answer.whole = false;
    }
    answer.tookSeconds = record.seconds() - answer.sentSeconds;
    record.line(
        "%s answered: status %d, %s, signature %s, %d events up to %d",
        attempt,
        answer.status,
        answer.whole ? "whole" : "broken off",
        answer.signature.isEmpty() ? "none" : answer.signature,
        answer.events.size(),
        answer.lastEvent);
    return answer;
  }

  /** Returns a body that no other request has, except one that takes the same stream up. */
  private static String body(String attempt, String headers) {
    int prompt = headers.indexOf("Snipeloom-Prompt-Prefix:");
    String unique =
        prompt < 0 ? attempt : headers.substring(prompt, headers.indexOf('\r', prompt));
    return "%08x".formatted(unique.hashCode());
  }

  private static void read(InputStream in, Answer answer) throws IOException {
    String line = Replica.line(in);
    if (line.isEmpty()) {
      return;
    }
    answer.status = Integer.parseInt(line.split(" ")[1]);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = Replica.line(in); !header.isEmpty(); header = Replica.line(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    answer.signature = headers.getOrDefault("Snipeloom-Replica-Signature", "");
    answer.retryAfterSeconds = Double.parseDouble(headers.getOrDefault("Retry-After", "0"));
    if (!headers.containsKey("Transfer-Encoding")) {
      int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
      answer.whole = in.readNBytes(length).length == length;
      return;
    }
    StringBuilder text = new StringBuilder();
    while (true) {
      String size = Replica.line(in);
      if (size.isEmpty()) {
        return;
      }
      int bytes = Integer.parseInt(size, 16);
      text.append(new String(in.readNBytes(bytes), StandardCharsets.ISO_8859_1));
      takeEvents(text, answer);
      Replica.line(in);
      if (bytes == 0) {
        answer.whole = true;
        return;
      }
    }
  }

  private static void takeEvents(StringBuilder text, Answer answer) {
    for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
      for (String line : text.substring(0, end).split("\n")) {
        if (line.startsWith("id:")) {
          answer.lastEvent = Long.parseLong(line.substring(3).trim());
        } else if (line.startsWith("data:")) {
          answer.events.add(line.substring(5).trim());
        }
      }
      text.delete(0, end + 2);
    }
  }
}
