package io.snipeloom.cost;

/**
 * How well the estimates of a caller match what its requests generate: their bias and their spread,
 * as logarithms. Older observations count less. Not thread-safe.
 */
final class HintAccuracy {
  /** The assumed spread of estimates that were not compared with any output yet. */
  private static final double INITIAL_VARIANCE = 1.0;

  /** The least spread, since the output of a request is never known exactly. */
  private static final double MIN_VARIANCE = 0.01;

  /** The observations that count: at this weight an older one counts no longer. */
  private static final double MAX_SAMPLES = 32;

  /** The largest error that one observation counts for: a factor of 20. */
  private static final double MAX_ERROR = 3;

  private double samples = 1;
  private double bias;
  private double variance = INITIAL_VARIANCE;

  /**
   * Compares an estimate with an output.
   *
   * @param hint the estimate, in tokens, above 0
   * @param output the output, in tokens, above 0
   */
  void record(double hint, double output) {
    double error = Math.log(output / hint) - bias;
    double clipped = Math.max(-MAX_ERROR, Math.min(MAX_ERROR, error));
    samples = Math.min(MAX_SAMPLES, samples + 1);
    bias += clipped / samples;
    variance += (clipped * clipped - variance) / samples;
  }

  /** Returns the logarithm by which outputs exceed the estimates. */
  double bias() {
    return bias;
  }

  /** Returns the variance of the logarithm of output by estimate. */
  double variance() {
    return Math.max(MIN_VARIANCE, variance);
  }
}
