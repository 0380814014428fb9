import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, each line with the seconds since the start. */
final class RunRecord implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Writes one line. */
  synchronized void line(String format, Object... values) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.printf(Locale.ROOT, "%7.3f ", seconds);
    out.printf(Locale.ROOT, format, values);
    out.println();
    out.flush();
  }

  /** Writes one line and prints it. */
  void result(String format, Object... values) {
    line(format, values);
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  @Override
  public void close() {
    out.close();
  }
}
