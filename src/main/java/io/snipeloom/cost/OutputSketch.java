package io.snipeloom.cost;

import org.HdrHistogram.IntCountsHistogram;

/**
 * The distribution of the output of recent requests of one kind. The newest {@link
 * #GENERATION_SAMPLES} to twice as many count. Not thread-safe.
 */
final class OutputSketch {
  private static final int GENERATION_SAMPLES = 64;

  /** The largest output that is told apart, in tokens. */
  private static final long MAX_TOKENS = 65_536;

  /** One digit keeps a sketch at about 1 KB and its quantiles within 10 %. */
  private static final int DIGITS = 1;

  private static final double MEDIAN = 50;
  private static final double HIGH = 90;

  /** The number of standard deviations between the median and the 90th percentile. */
  private static final double HIGH_DEVIATIONS = 1.28;

  private static final double MIN_DEVIATION = 0.1;

  private IntCountsHistogram current = newHistogram();
  private IntCountsHistogram previous = newHistogram();
  private double median;
  private double deviation;

  private static IntCountsHistogram newHistogram() {
    return new IntCountsHistogram(MAX_TOKENS, DIGITS);
  }

  void record(double tokens) {
    if (current.getTotalCount() >= GENERATION_SAMPLES) {
      IntCountsHistogram oldest = previous;
      previous = current;
      current = oldest;
      current.reset();
    }
    current.recordValue(Math.max(1, Math.min(MAX_TOKENS, Math.round(tokens))));
    updateQuantiles();
  }

  private void updateQuantiles() {
    IntCountsHistogram recent = previous.copy();
    recent.add(current);
    median = (double) Math.max(1, recent.getValueAtPercentile(MEDIAN));
    double high = Math.max(median, (double) recent.getValueAtPercentile(HIGH));
    deviation = Math.max(MIN_DEVIATION, Math.log(high / median) / HIGH_DEVIATIONS);
  }

  long samples() {
    return current.getTotalCount() + previous.getTotalCount();
  }

  /** Returns the median, in tokens; 0 before the first observation. */
  double median() {
    return median;
  }

  /** Returns the standard deviation of the logarithm of the output. */
  double deviation() {
    return deviation;
  }
}
