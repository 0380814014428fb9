package io.snipeloom.transport;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Renders a metric registry in the Prometheus text exposition format.
 *
 * <p>Names get the prefix {@code snipeloom_}. Numeric gauges and counters are rendered as gauges,
 * meters as counters, and histograms and timers as summaries, timers in seconds. The sum of a
 * summary is an estimate: its count times the mean of the sampled values. Not thread-safe.
 */
public final class MetricsText {
  /** The media type of the format. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String PREFIX = "snipeloom_";
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final StringBuilder text = new StringBuilder();

  private MetricsText() {}

  /** Renders all metrics of a registry. */
  public static String of(MetricRegistry registry) {
    MetricsText out = new MetricsText();
    registry.getGauges().forEach(out::gauge);
    registry.getCounters().forEach((name, counter) -> out.counter(name, counter.getCount()));
    registry.getMeters().forEach((name, meter) -> out.meter(name, meter.getCount()));
    registry.getHistograms().forEach(out::histogram);
    registry.getTimers().forEach(out::timer);
    return out.text.toString();
  }

  private void gauge(String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      String metric = prometheusName(name);
      appendType(metric, "gauge");
      appendSample(metric, "", number.doubleValue());
    }
  }

  private void counter(String name, long value) {
    String metric = prometheusName(name);
    appendType(metric, "gauge");
    appendSample(metric, "", (double) value);
  }

  private void meter(String name, long value) {
    String metric = prometheusName(name) + "_total";
    appendType(metric, "counter");
    appendSample(metric, "", (double) value);
  }

  private void histogram(String name, Histogram histogram) {
    summary(prometheusName(name), histogram.getSnapshot(), histogram.getCount(), 1);
  }

  private void timer(String name, Timer timer) {
    String metric = prometheusName(name) + "_seconds";
    summary(metric, timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
  }

  private void summary(String metric, Snapshot snapshot, long count, double divisor) {
    appendType(metric, "summary");
    appendSample(metric, "{quantile=\"0.5\"}", snapshot.getMedian() / divisor);
    appendSample(metric, "{quantile=\"0.95\"}", snapshot.get95thPercentile() / divisor);
    appendSample(metric, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / divisor);
    appendSample(metric + "_sum", "", snapshot.getMean() * count / divisor);
    appendSample(metric + "_count", "", (double) count);
  }

  private void appendType(String metric, String type) {
    text.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
  }

  private void appendSample(String metric, String labels, double value) {
    text.append(metric).append(labels).append(' ').append(format(value)).append('\n');
  }

  private static String format(double value) {
    if (value == Math.rint(value) && Math.abs(value) < 1e15) {
      return Long.toString((long) value);
    }
    return Double.toString(value);
  }

  private static String prometheusName(String name) {
    return PREFIX + name.replaceAll("[^A-Za-z0-9_]", "_").toLowerCase(Locale.ROOT);
  }
}
