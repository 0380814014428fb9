package io.snipeloom.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * How the times to the first event compare with those that were predicted, for each kind of
 * request. Not thread-safe.
 *
 * <p>A predictor that is wrong by a constant factor, or does not know that urgent requests overtake
 * others, is corrected by it.
 */
final class PredictionAccuracy {
  /** Times below this are dominated by the network, in milliseconds. */
  private static final double NOISE_MILLIS = 25;

  private static final double MAX_RATIO = 4;
  private static final double MEDIAN = 0.5;

  /** One in ten first events comes earlier than this part of the predicted times. */
  private static final double EARLY = 0.1;

  /** Predictions count as wrong by two until it is known. */
  private static final double INITIAL_EARLY_RATIO = 0.5;

  /** How far one observation moves an estimate, as a part of its logarithm. */
  private static final double STEP = 0.1;

  private final Map<String, Ratios> byKind = new HashMap<>();

  private static final class Ratios {
    private double logMedian;
    private double logEarly = Math.log(INITIAL_EARLY_RATIO);
  }

  /**
   * Records a first event.
   *
   * @param kind the kind of request
   * @param predictedMillis the time that was predicted, in milliseconds
   * @param actualMillis the time that it took, in milliseconds
   */
  void record(String kind, double predictedMillis, double actualMillis) {
    Ratios ratios = byKind.computeIfAbsent(kind, name -> new Ratios());
    double ratio = Math.log((actualMillis + NOISE_MILLIS) / (predictedMillis + NOISE_MILLIS));
    ratios.logMedian = moved(ratios.logMedian, ratio, MEDIAN);
    ratios.logEarly = Math.min(ratios.logMedian, moved(ratios.logEarly, ratio, EARLY));
  }

  /** Returns the part of predicted times that half of the actual ones exceed. */
  double medianRatio(String kind) {
    Ratios ratios = byKind.get(kind);
    return ratios == null ? 1 : Math.exp(ratios.logMedian);
  }

  /** Returns the part of predicted times that nearly all actual ones exceed. */
  double earlyRatio(String kind) {
    Ratios ratios = byKind.get(kind);
    return ratios == null ? INITIAL_EARLY_RATIO : Math.exp(ratios.logEarly);
  }

  private static double moved(double estimate, double observed, double quantile) {
    double step = STEP * (quantile - (observed < estimate ? 1 : 0));
    double limit = Math.log(MAX_RATIO);
    return Math.max(-limit, Math.min(limit, estimate + step));
  }
}
