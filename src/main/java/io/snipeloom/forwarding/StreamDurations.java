package io.snipeloom.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * How long the complete streams of each route took recently, from the arrival of the request to the
 * end of the response. Bounded in size. Not thread-safe.
 */
final class StreamDurations {
  /** Streams of the current and the previous period count. */
  private static final long PERIOD_NANOS = 30_000_000_000L;

  /** The most routes; streams of further ones are not recorded. */
  private static final int MAX_ROUTES = 256;

  private final Map<String, Longest> routes = new HashMap<>();

  /** The longest streams of one route. */
  private static final class Longest {
    private long periodBeginNanos;
    private long currentNanos;
    private long previousNanos;

    private Longest(long nowNanos) {
      periodBeginNanos = nowNanos;
    }

    private void advance(long nowNanos) {
      long periods = (nowNanos - periodBeginNanos) / PERIOD_NANOS;
      if (periods > 0) {
        previousNanos = periods == 1 ? currentNanos : 0;
        currentNanos = 0;
        periodBeginNanos += periods * PERIOD_NANOS;
      }
    }
  }

  /**
   * Records a complete stream.
   *
   * @param route the name of its route
   * @param nanos how long it took
   * @param nowNanos the current time
   */
  void record(String route, long nanos, long nowNanos) {
    if (routes.size() >= MAX_ROUTES && !routes.containsKey(route)) {
      return;
    }
    Longest longest = routes.computeIfAbsent(route, name -> new Longest(nowNanos));
    longest.advance(nowNanos);
    longest.currentNanos = Math.max(longest.currentNanos, nanos);
  }

  /**
   * Returns how long the longest recent stream of a route took.
   *
   * @param route the name of the route
   * @param nowNanos the current time
   * @return the time in nanoseconds, empty if there was none
   */
  OptionalLong longestNanos(String route, long nowNanos) {
    Longest longest = routes.get(route);
    if (longest == null) {
      return OptionalLong.empty();
    }
    longest.advance(nowNanos);
    long nanos = Math.max(longest.currentNanos, longest.previousNanos);
    return nanos > 0 ? OptionalLong.of(nanos) : OptionalLong.empty();
  }
}
