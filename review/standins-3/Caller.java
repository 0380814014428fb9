import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One channel of a requester to an instance, for one request after the other. */
final class Caller implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;

  /** Takes the body of an answer as it arrives. */
  interface BodyListener {
    void onBody(String text);
  }

  /** The answer to a request; its status is 0 if there is none. */
  static final class Answer {
    int status;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    final StringBuilder body = new StringBuilder();
    boolean complete;

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  Caller(int port, int timeoutMillis) throws IOException {
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and reads its answer, as far as it comes. */
  Answer send(String head, byte[] body, BodyListener listener) {
    Answer answer = new Answer();
    try {
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
      read(answer, listener);
    } catch (IOException | NumberFormatException e) {
      // The answer ends here.
      return answer;
    }
    return answer;
  }

  private void read(Answer answer, BodyListener listener) throws IOException {
    String status = line();
    if (status.isEmpty()) {
      return;
    }
    answer.status = Integer.parseInt(status.split(" ")[1]);
    for (String header = line(); !header.isEmpty(); header = line()) {
      int colon = header.indexOf(':');
      answer.headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    if (answer.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      for (int size = chunk(); size > 0; size = chunk()) {
        add(answer, size, listener);
        line();
      }
      line();
    } else {
      add(answer, Integer.parseInt("0" + answer.header("Content-Length")), listener);
    }
    answer.complete = true;
  }

  private int chunk() throws IOException {
    return Integer.parseInt(line(), 16);
  }

  private void add(Answer answer, int size, BodyListener listener) throws IOException {
    byte[] bytes = in.readNBytes(size);
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    answer.body.append(text);
    listener.onBody(text);
    if (bytes.length < size) {
      throw new IOException("the answer ends early");
    }
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    while (b >= 0 && b != '\n') {
      line.write(b);
      b = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
