import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the seconds since its beginning. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    out.printf("%8.3f  %s%n", seconds(), format.formatted(values));
    out.flush();
  }

  /** Writes a line that is printed too. */
  void tell(String format, Object... values) {
    line(format, values);
    System.out.println(format.formatted(values));
  }

  @Override
  public void close() {
    out.close();
  }
}
