import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The head of an HTTP/1.1 message. */
record Http(String startLine, Map<String, String> headers) {

  /** Reads a head; returns null if the connection ended before it. */
  static Http read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Http(start, headers);
  }

  /** Reads a line without its end; returns null at the end of the connection. */
  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.length() == 0) {
          return null;
        }
        throw new EOFException("the connection ended inside a line");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** Reads the body that follows the head; fails if it is not whole. */
  String body(InputStream in) throws IOException {
    StringBuilder body = new StringBuilder();
    readBody(in, body);
    return body.toString();
  }

  /** Reads the body that follows the head into a buffer, which has what came if it fails. */
  void readBody(InputStream in, StringBuilder body) throws IOException {
    if (header("transfer-encoding").equals("chunked")) {
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("the connection ended inside a body");
        }
        int length = Integer.parseInt(size.trim(), 16);
        append(in, length, body);
        line(in);
        if (length == 0) {
          return;
        }
      }
    }
    append(in, Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
  }

  private static void append(InputStream in, int length, StringBuilder body) throws IOException {
    byte[] bytes = in.readNBytes(length);
    body.append(new String(bytes, StandardCharsets.ISO_8859_1));
    if (bytes.length < length) {
      throw new EOFException("the connection ended inside a body");
    }
  }
}
