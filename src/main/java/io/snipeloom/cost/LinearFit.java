package io.snipeloom.cost;

/**
 * A line through observations of two quantities, by least squares. Older observations count less.
 * Not thread-safe.
 */
final class LinearFit {
  /** What an observation counts when the next one arrives; about 200 count. */
  private static final double RETENTION = 0.995;

  /** The observations from which the line is used. */
  private static final double MIN_WEIGHT = 12;

  /** The largest factor by which one observation may be off the line and still counts whole. */
  private static final double MAX_FACTOR = 3;

  private double weight;
  private double meanX;
  private double meanY;
  private double sumXx;
  private double sumXy;

  void record(double x, double y) {
    final double clipped =
        isKnown() ? Math.min(y, MAX_FACTOR * Math.max(valueAt(x), Double.MIN_NORMAL)) : y;
    weight = weight * RETENTION + 1;
    sumXx *= RETENTION;
    sumXy *= RETENTION;
    double deltaX = x - meanX;
    meanX += deltaX / weight;
    meanY += (clipped - meanY) / weight;
    sumXx += deltaX * (x - meanX);
    sumXy += deltaX * (clipped - meanY);
  }

  /** Returns whether there are enough observations. */
  boolean isKnown() {
    return weight >= MIN_WEIGHT;
  }

  /** Returns the increase per unit; at least 0, and not more than makes the line begin below 0. */
  double slope() {
    double slope = sumXx <= 0 ? 0 : Math.max(0, sumXy / sumXx);
    return meanX <= 0 ? slope : Math.min(slope, meanY / meanX);
  }

  double valueAt(double x) {
    return Math.max(0, meanY + slope() * (x - meanX));
  }
}
