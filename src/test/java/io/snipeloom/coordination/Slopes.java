package io.snipeloom.coordination;

import io.snipeloom.state.SlopeTable;
import io.snipeloom.state.StateSlopes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures how the cost of state, records, messages and fleet grows with their size, and prints the
 * fitted lines. Run with {@code bench/slopes}.
 */
public final class Slopes {
  private Slopes() {}

  /**
   * Measures and prints.
   *
   * @param args a file to which the table is also written; if there is none, it is only printed
   * @throws IOException if the file cannot be written
   */
  public static void main(String[] args) throws IOException {
    final long start = System.nanoTime();
    SlopeTable table = new SlopeTable();
    FleetSlopes.addTo(table);
    StateSlopes.addTo(table);
    List<String> page = new ArrayList<>();
    page.add("# Measured slopes");
    page.add("");
    page.add("Printed by `bench/slopes`; do not edit. The fit is a least-squares line through the");
    page.add("medians. Bytes are counted once; times are the median of 5 runs after one warm-up");
    page.add("run, and include interference by other processes of the machine. A negative");
    page.add("intercept or a small r2 means that the line does not describe the small sizes.");
    page.add("");
    page.addAll(table.lines());
    page.forEach(System.out::println);
    System.out.printf("seconds=%.1f%n", (System.nanoTime() - start) / 1e9);
    if (args.length > 0) {
      Path file = Path.of(args[0]);
      Files.write(file, page);
      table.plot(file.resolveSibling("plots"));
    }
  }
}
