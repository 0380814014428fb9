import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller that opens a connection for each request and reads the whole answer. */
final class StandinCaller {
  private static final Pattern EVENT = Pattern.compile("id: \\d+\ndata: [^\n]*\n\n");

  private final RunRecord record;

  StandinCaller(RunRecord record) {
    this.record = record;
  }

  /**
   * An answer.
   *
   * @param status the status, 0 if the connection ended without a head
   * @param complete whether the body was whole
   * @param body what came of the body
   */
  record Answer(int status, boolean complete, String body) {
    /** Returns the number of complete events. */
    int events() {
      Matcher events = EVENT.matcher(body);
      int count = 0;
      while (events.find()) {
        count++;
      }
      return count;
    }
  }

  /** Sends a request and reads its answer. */
  Answer send(InetSocketAddress edge, String attempt, String method, String path, String headers) {
    StringBuilder body = new StringBuilder();
    int status = 0;
    boolean complete = false;
    record.line("caller: sends %s to %s", attempt, edge.getAddress().getHostAddress());
    try (Socket socket = new Socket()) {
      socket.connect(edge, 1_000);
      socket.setSoTimeout(15_000);
      String request =
          method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nSnipeloom-Attempt-Id: "
              + attempt + "\r\n" + headers + (method.equals("POST") ? "Content-Length: 2\r\n\r\n{}" : "\r\n");
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      Http head = Http.read(in);
      if (head != null) {
        status = head.status();
        head.readBody(in, body);
        complete = true;
      }
    } catch (IOException e) {
      record.line("caller: %s failed: %s", attempt, e.getMessage());
    }
    Answer answer = new Answer(status, complete, body.toString());
    record.line(
        "caller: %s answered %d, %s, %d events", attempt, status, complete ? "whole" : "not whole", answer.events());
    return answer;
  }
}
