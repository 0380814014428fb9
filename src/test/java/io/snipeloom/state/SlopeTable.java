package io.snipeloom.state;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntToLongFunction;
import java.util.stream.Collectors;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * A table of figures that were measured at several sizes, with a least-squares line fitted to the
 * medians of each figure.
 *
 * <p>Not thread-safe.
 */
public final class SlopeTable {
  /** The number of runs of a timed figure at each size. */
  public static final int RUNS = 5;

  private static final int GC_CALLS = 2;
  private static final long WARM_UP_NANOS = 150_000_000;

  private final List<Row> rows = new ArrayList<>();

  /** The least-squares line through points, with its coefficient of determination. */
  record Fit(double slope, double intercept, double r2) {
    static Fit of(double[] x, double[] y) {
      double meanX = Arrays.stream(x).average().orElseThrow();
      double meanY = Arrays.stream(y).average().orElseThrow();
      double sxx = 0;
      double sxy = 0;
      double syy = 0;
      for (int i = 0; i < x.length; i++) {
        sxx += (x[i] - meanX) * (x[i] - meanX);
        sxy += (x[i] - meanX) * (y[i] - meanY);
        syy += (y[i] - meanY) * (y[i] - meanY);
      }
      double slope = sxy / sxx;
      double r2 = syy == 0 ? 1 : sxy * sxy / (sxx * syy);
      return new Fit(slope, meanY - slope * meanX, r2);
    }
  }

  /** One figure; the samples at each size are in ascending order. */
  private record Row(String name, String sizeLabel, String unit, long[] sizes, double[][] samples) {
    private double[] medians() {
      return Arrays.stream(samples).mapToDouble(runs -> runs[runs.length / 2]).toArray();
    }

    private String line() {
      double[] x = Arrays.stream(sizes).asDoubleStream().toArray();
      double[] y = medians();
      Fit fit = Fit.of(x, y);
      return "| %s | %s | %s | %s | %s | %s %s | %s | %.4f | %s |"
          .formatted(
              name,
              sizeLabel,
              Arrays.stream(sizes).mapToObj(Long::toString).collect(Collectors.joining(" ")),
              Arrays.stream(y).mapToObj(SlopeTable::number).collect(Collectors.joining(" ")),
              number(y[y.length - 1] / x[x.length - 1]),
              number(fit.slope()),
              unit,
              number(fit.intercept()),
              fit.r2(),
              spread());
    }

    private void plot(Path directory) throws IOException {
      double[] y = medians();
      if (Arrays.stream(y).anyMatch(value -> value <= 0)) {
        return;
      }
      XYChart chart =
          new XYChartBuilder()
              .title(name)
              .xAxisTitle(sizeLabel)
              .yAxisTitle(unit)
              .width(480)
              .build();
      chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
      chart.getStyler().setLegendVisible(false);
      chart.addSeries("median", Arrays.stream(sizes).asDoubleStream().toArray(), y);
      Path file = directory.resolve(name.replaceAll("[^A-Za-z0-9]+", "-").toLowerCase(Locale.ROOT));
      VectorGraphicsEncoder.saveVectorGraphic(
          chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    private String spread() {
      if (samples[0].length == 1) {
        return "counted once";
      }
      return Arrays.stream(samples)
          .map(runs -> number(runs[0]) + ".." + number(runs[runs.length - 1]))
          .collect(Collectors.joining(" "));
    }
  }

  /** Adds a figure that is counted once at each size. */
  public void addCounts(String name, String sizeLabel, String unit, long[] sizes, long[] counts) {
    double[][] samples =
        Arrays.stream(counts).mapToObj(count -> new double[] {count}).toArray(double[][]::new);
    rows.add(new Row(name, sizeLabel, unit, sizes, samples));
  }

  /** Adds a figure that is timed, with the samples of all runs at each size. */
  public void addTimes(
      String name, String sizeLabel, String unit, long[] sizes, double[][] samples) {
    double[][] sorted = Arrays.stream(samples).map(double[]::clone).toArray(double[][]::new);
    Arrays.stream(sorted).forEach(Arrays::sort);
    rows.add(new Row(name, sizeLabel, unit, sizes, sorted));
  }

  /** Returns the lines of the table as Markdown. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        "| figure | size | sizes run | median at each | last value / last size | slope"
            + " | intercept | r2 | min..max of %d runs at each |".formatted(RUNS));
    lines.add("|---|---|---|---|---|---|---|---|---|");
    rows.forEach(row -> lines.add(row.line()));
    return lines;
  }

  /**
   * Measures the mean time of an action in each run, after a warm-up.
   *
   * @param repeats the number of times that a run executes the action
   * @return the nanoseconds per action, one value for each run
   */
  public static double[] nanos(int repeats, Runnable action) {
    warmUp(action);
    return nanos(repeats, run -> time(repeats, action));
  }

  /**
   * Measures the mean time of an action, given a function that executes and times a whole run. The
   * function is called once with -1 as a warm-up and then with the index of each run.
   *
   * @param actionsPerRun the number of actions that a run executes
   * @param run the function, which returns the nanoseconds of the run
   * @return the nanoseconds per action, one value for each run
   */
  public static double[] nanos(int actionsPerRun, IntToLongFunction run) {
    double[] samples = new double[RUNS];
    long unused = run.applyAsLong(-1);
    for (int i = 0; i < RUNS; i++) {
      samples[i] = (double) run.applyAsLong(i) / actionsPerRun;
    }
    return samples;
  }

  private static void warmUp(Runnable action) {
    long end = System.nanoTime() + WARM_UP_NANOS;
    do {
      action.run();
    } while (System.nanoTime() - end < 0);
  }

  private static long time(int repeats, Runnable action) {
    long start = System.nanoTime();
    for (int i = 0; i < repeats; i++) {
      action.run();
    }
    return System.nanoTime() - start;
  }

  /** Writes an SVG plot of each figure whose medians are all positive. */
  public void plot(Path directory) throws IOException {
    Files.createDirectories(directory);
    for (Row row : rows) {
      row.plot(directory);
    }
  }

  /** Returns the bytes of heap in use after garbage collection. */
  public static long usedHeap() {
    for (int i = 0; i < GC_CALLS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Returns the mean number of bytes that the action allocates on this thread. */
  public static long allocated(int repeats, Runnable action) {
    action.run();
    long before = allocatedBytes();
    time(repeats, action);
    return (allocatedBytes() - before) / repeats;
  }

  private static long allocatedBytes() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
  }

  private static String number(double value) {
    double magnitude = Math.abs(value);
    String format =
        magnitude >= 100 || value == Math.rint(value) ? "%.0f" : magnitude >= 1 ? "%.2f" : "%.5f";
    return String.format(Locale.ROOT, format, value);
  }
}
