package io.snipeloom.cost;

import java.util.OptionalDouble;

/**
 * How long work takes at one incarnation of a replica, compared with what is usual at its service:
 * 2 is twice as long.
 *
 * <p>A pace has a lasting part, the speed of the replica, and a passing part, what others on its
 * host do now. The passing part is what the replica states, while that is young, else what was
 * observed last; it fades with its age. One observation counts as a factor of at most {@link
 * #MAX_STEP_FACTOR}. Not thread-safe.
 */
public final class ReplicaPace {
  /** The age at which a stated or observed passing part counts by a third, in nanoseconds. */
  private static final double FADE_NANOS = 300_000_000;

  /** The age from which a passing part says nothing any more, in nanoseconds. */
  private static final long MAX_AGE_NANOS = 1_000_000_000L;

  /** The part of a passing pace that is left on average while a request is served. */
  private static final double SERVED_SHARE = 0.6;

  private static final double MAX_STEP_FACTOR = 2;
  private static final double MAX_STEP = Math.log(MAX_STEP_FACTOR);

  /** The range of an observation. */
  private static final double MAX_LOG = Math.log(16);

  /** The observations that the lasting part rests on at most, so that a change is found. */
  private static final double MAX_SAMPLES = 24;

  /** The observations at which a lasting part counts by half. */
  private static final double PRIOR_SAMPLES = 3;

  /** The recent observations at which a passing part counts by half: one alone is doubted. */
  private static final double PRIOR_RECENT = 1;

  private static final double PERCENT = 100;

  private double samples;
  private double lasting;
  private double recentWeight;
  private double recent;
  private long recentNanos;
  private double stated;
  private long statedNanos;
  private boolean states;
  private long ownStatedNanos;
  private boolean statesToThis;
  private double toldSum;
  private double toldWeight;

  /**
   * Records how long work took.
   *
   * @param ratio the time by the time that is usual at the service for this work, above 0
   * @param nowNanos the current time
   */
  public void onObserved(double ratio, long nowNanos) {
    record(logOf(ratio), nowNanos);
    toldSum += logOf(ratio);
    toldWeight++;
  }

  /**
   * Records what another instance observed.
   *
   * @param ratio the mean time by the time that is usual at the service, above 0
   * @param nowNanos the current time
   */
  public void onTold(double ratio, long nowNanos) {
    record(logOf(ratio), nowNanos);
  }

  private static double logOf(double ratio) {
    return clip(Math.log(ratio), MAX_LOG);
  }

  private void record(double log, long nowNanos) {
    double step = clip(log - passingStated(nowNanos) - lasting, MAX_STEP);
    samples = Math.min(MAX_SAMPLES, samples + 1);
    lasting += step / (samples + 1);
    double kept = fade(nowNanos - recentNanos);
    recentWeight = recentWeight * kept + 1;
    recent += (clip(log - lasting, MAX_STEP) - recent) / recentWeight;
    recentNanos = nowNanos;
  }

  /**
   * Records how long the replica says that work takes on its host now.
   *
   * @param percent the time in percent of the usual one, above 0
   * @param nowNanos the current time
   */
  public void onStated(int percent, long nowNanos) {
    onToldStated(percent, nowNanos);
    ownStatedNanos = nowNanos;
    statesToThis = true;
  }

  /**
   * Records what the replica said to another instance, unless something younger is known.
   *
   * @param percent the time in percent of the usual one, above 0
   * @param atNanos when the replica said it
   */
  public void onToldStated(int percent, long atNanos) {
    if (!states || atNanos >= statedNanos) {
      states = true;
      stated = logOf(percent / PERCENT);
      statedNanos = atNanos;
    }
  }

  /** Returns the mean ratio observed since the last call, empty if there was none. */
  public OptionalDouble takeObserved() {
    if (toldWeight == 0) {
      return OptionalDouble.empty();
    }
    double ratio = Math.exp(toldSum / toldWeight);
    toldSum = 0;
    toldWeight = 0;
    return OptionalDouble.of(ratio);
  }

  /**
   * Returns the percentage that the replica stated to this instance, empty if that is too old.
   *
   * @param nowNanos the current time
   * @param maxAgeNanos the age from which it is too old
   */
  public OptionalDouble ownStatedPercent(long nowNanos, long maxAgeNanos) {
    return statesToThis && nowNanos - ownStatedNanos <= maxAgeNanos
        ? OptionalDouble.of(Math.exp(stated) * PERCENT)
        : OptionalDouble.empty();
  }

  /** Returns whether the replica has stated how long work takes on its host. */
  public boolean isStated() {
    return states;
  }

  /** Returns whether anything is known of the pace. */
  public boolean isKnown() {
    return samples > 0 || states;
  }

  /**
   * Returns the logarithm of the pace expected now; 0 while nothing is known.
   *
   * @param nowNanos the current time
   */
  public double log(long nowNanos) {
    return lasting * samples / (samples + PRIOR_SAMPLES) + passing(nowNanos);
  }

  /**
   * Returns the pace expected now; 1 while nothing is known.
   *
   * @param nowNanos the current time
   */
  public double factor(long nowNanos) {
    return Math.exp(log(nowNanos));
  }

  private double passing(long nowNanos) {
    if (states && nowNanos - statedNanos <= MAX_AGE_NANOS) {
      return passingStated(nowNanos) * SERVED_SHARE;
    }
    double weight = recentWeight * fade(nowNanos - recentNanos);
    return weight == 0 ? 0 : recent * weight / (weight + PRIOR_RECENT);
  }

  private double passingStated(long nowNanos) {
    return states ? stated * fade(nowNanos - statedNanos) : 0;
  }

  private static double fade(long ageNanos) {
    return ageNanos > MAX_AGE_NANOS ? 0 : Math.exp(-ageNanos / FADE_NANOS);
  }

  private static double clip(double value, double limit) {
    return Math.max(-limit, Math.min(limit, value));
  }
}
