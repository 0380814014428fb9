package io.snipeloom.standin;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** The measurements of a load run. Thread-safe. */
final class LoadResults {
  static final String TABLE_HEAD =
      "| run | answers | errors | requests/s | tokens/s | first token p50/p95/p99 ms |"
          + " between tokens p50/p95/p99 ms |\n|---|---|---|---|---|---|---|";

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000.0;

  private final Histogram firstToken = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final Histogram betweenTokens = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final Map<String, LongAdder> errors = new ConcurrentHashMap<>();
  private final LongAdder answers = new LongAdder();
  private final LongAdder tokens = new LongAdder();

  void recordFirstToken(long nanos) {
    firstToken.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  void recordBetweenTokens(long nanos) {
    betweenTokens.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  void recordAnswer(int tokenCount) {
    answers.increment();
    tokens.add(tokenCount);
  }

  void recordError(String code) {
    errors.computeIfAbsent(code, name -> new LongAdder()).increment();
  }

  long answers() {
    return answers.sum();
  }

  long errors() {
    return errors.values().stream().mapToLong(LongAdder::sum).sum();
  }

  /** Prints one key=value pair per line. */
  void print(PrintStream out, double seconds) {
    out.println("answers=" + answers.sum());
    errors.forEach((code, count) -> out.println("errors." + code + "=" + count.sum()));
    out.println("seconds=" + decimal(seconds));
    out.println("requestsPerSecond=" + decimal(answers.sum() / seconds));
    out.println("tokensPerSecond=" + decimal(tokens.sum() / seconds));
    out.println("firstTokenMillis=" + percentiles(firstToken));
    out.println("betweenTokensMillis=" + percentiles(betweenTokens));
  }

  /** Returns a Markdown table row; {@link #TABLE_HEAD} is the header. */
  String row(String label, double seconds) {
    return String.format(
        Locale.ROOT,
        "| %s | %d | %d | %.1f | %.0f | %s | %s |",
        label,
        answers.sum(),
        errors(),
        answers.sum() / seconds,
        tokens.sum() / seconds,
        percentiles(firstToken),
        percentiles(betweenTokens));
  }

  private static String percentiles(Histogram histogram) {
    return millis(histogram, 50) + " / " + millis(histogram, 95) + " / " + millis(histogram, 99);
  }

  private static String millis(Histogram histogram, double percentile) {
    return decimal(histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
