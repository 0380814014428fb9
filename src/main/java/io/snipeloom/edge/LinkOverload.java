package io.snipeloom.edge;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether the network link of this instance carries as much as it can, so that callers had
 * better use other instances.
 *
 * <p>The link is overloaded if messages to all other instances take much longer than usual, or take
 * longer while nearly all that it can carry is used. Much traffic alone delays nobody. Callers that
 * come back may overload it again, so each time within a minute they are kept away for twice as
 * long. Not thread-safe.
 */
final class LinkOverload {
  /** How much longer than usual the shortest round trip takes when the link is overloaded. */
  private static final long OVERLOADED_MILLIS = 100;

  /** How much longer than usual it takes at most when the link is free again. */
  private static final long FREE_MILLIS = 30;

  /** The utilization from which a link is overloaded; the headers of packets come on top. */
  private static final double OVERLOADED_UTILIZATION = 0.85;

  /** The utilization up to which a link is free. */
  private static final double FREE_UTILIZATION = 0.6;

  /** For how long the utilization must be so high. */
  private static final long OVERLOADED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How long the link must have been free until callers are taken again, the first time. */
  private static final long MIN_HOLD_NANOS = TimeUnit.SECONDS.toNanos(8);

  private static final long MAX_HOLD_NANOS = TimeUnit.SECONDS.toNanos(64);

  /** How long after callers were taken again another overload is taken for the same one. */
  private static final long RECURRENCE_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** How long the load balancer takes to stop sending callers: two probes, a second apart. */
  private static final long REROUTED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

  private long usualMillis = Long.MAX_VALUE;
  private boolean overloaded;
  private long beginNanos;
  private long endNanos;
  private long lastBusyNanos;
  private long lastBelowNanos;
  private long holdNanos;

  /**
   * Creates a decision for a link that is not overloaded.
   *
   * @param nowNanos the current time
   */
  LinkOverload(long nowNanos) {
    this.endNanos = nowNanos - RECURRENCE_NANOS;
    this.lastBelowNanos = nowNanos;
  }

  /**
   * Records what is known of the link.
   *
   * @param shortestMillis the shortest recent round trip to another instance, in milliseconds; -1
   *     if there was none
   * @param utilization the share of what the link can carry that was used lately; 0 if unknown
   * @param nowNanos the current time
   * @return whether the link has become overloaded, or callers are taken again
   */
  boolean update(long shortestMillis, double utilization, long nowNanos) {
    long excessMillis = excessMillis(shortestMillis);
    if (utilization < OVERLOADED_UTILIZATION || excessMillis < FREE_MILLIS) {
      lastBelowNanos = nowNanos;
    }
    if (excessMillis > FREE_MILLIS || utilization > FREE_UTILIZATION) {
      lastBusyNanos = nowNanos;
    }
    boolean full = nowNanos - lastBelowNanos >= OVERLOADED_NANOS;
    if (!overloaded && (excessMillis >= OVERLOADED_MILLIS || full)) {
      begin(nowNanos);
      return true;
    }
    if (overloaded && nowNanos - lastBusyNanos >= holdNanos) {
      overloaded = false;
      endNanos = nowNanos;
      return true;
    }
    return false;
  }

  private long excessMillis(long shortestMillis) {
    if (shortestMillis < 0) {
      return 0;
    }
    usualMillis = Math.min(usualMillis, shortestMillis);
    return shortestMillis - usualMillis;
  }

  private void begin(long nowNanos) {
    boolean recurring = nowNanos - endNanos < RECURRENCE_NANOS;
    holdNanos = recurring ? Math.min(MAX_HOLD_NANOS, 2 * holdNanos) : MIN_HOLD_NANOS;
    overloaded = true;
    beginNanos = nowNanos;
    lastBusyNanos = nowNanos;
  }

  /** Returns whether callers had better use other instances. */
  boolean isOverloaded() {
    return overloaded;
  }

  /** Returns whether the load balancer has had time to send callers elsewhere. */
  boolean isRerouted(long nowNanos) {
    return overloaded && nowNanos - beginNanos >= REROUTED_NANOS;
  }
}
