import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, line by line with the time since the start of the case. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void line(String format, Object... values) {
    out.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, format.formatted(values));
  }

  @Override
  public void close() {
    out.close();
  }
}
