package io.snipeloom.transport;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Renders metrics in the Prometheus text format.
 *
 * <p>Names start with {@code snipeloom_}. Counters and meters become counters, histograms and
 * timers become summaries, timers in seconds. Used by one thread, once.
 */
public final class MetricsText {
  /** The media type of the format. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String PREFIX = "snipeloom_";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final StringBuilder text = new StringBuilder();

  private MetricsText() {}

  /**
   * Renders all metrics of a registry.
   *
   * @param registry the registry
   * @return the text
   */
  public static String of(MetricRegistry registry) {
    MetricsText out = new MetricsText();
    registry.getGauges().forEach(out::gauge);
    registry.getCounters().forEach((name, counter) -> out.level(name, counter.getCount()));
    registry.getMeters().forEach((name, meter) -> out.total(name, meter.getCount()));
    registry.getHistograms().forEach(out::histogram);
    registry.getTimers().forEach(out::timer);
    return out.text.toString();
  }

  private void gauge(String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      String metric = nameOf(name);
      type(metric, "gauge");
      sample(metric, "", number.doubleValue());
    }
  }

  private void level(String name, long value) {
    String metric = nameOf(name);
    type(metric, "gauge");
    sample(metric, "", (double) value);
  }

  private void total(String name, long value) {
    String metric = nameOf(name) + "_total";
    type(metric, "counter");
    sample(metric, "", (double) value);
  }

  private void histogram(String name, Histogram histogram) {
    summary(nameOf(name), histogram.getSnapshot(), histogram.getCount(), 1);
  }

  private void timer(String name, Timer timer) {
    String metric = nameOf(name) + "_seconds";
    summary(metric, timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
  }

  private void summary(String metric, Snapshot snapshot, long count, double unit) {
    type(metric, "summary");
    sample(metric, "{quantile=\"0.5\"}", snapshot.getMedian() / unit);
    sample(metric, "{quantile=\"0.95\"}", snapshot.get95thPercentile() / unit);
    sample(metric, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / unit);
    sample(metric + "_sum", "", snapshot.getMean() * count / unit);
    sample(metric + "_count", "", (double) count);
  }

  private void type(String metric, String type) {
    text.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
  }

  private void sample(String metric, String labels, double value) {
    text.append(metric).append(labels).append(' ').append(number(value)).append('\n');
  }

  private static String number(double value) {
    if (value == Math.rint(value) && Math.abs(value) < 1e15) {
      return Long.toString((long) value);
    }
    return Double.toString(value);
  }

  private static String nameOf(String name) {
    return PREFIX + name.replaceAll("[^A-Za-z0-9_]", "_").toLowerCase(Locale.ROOT);
  }
}
