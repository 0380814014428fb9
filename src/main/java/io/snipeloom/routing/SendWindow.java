package io.snipeloom.routing;

import java.util.ArrayDeque;

/**
 * The requests that this instance has sent to one replica within a second, and those that are about
 * to be sent.
 *
 * <p>A request is counted when its replica is chosen and again, in place of that, when it is sent:
 * it may have waited for a connection in between. Not thread-safe.
 */
final class SendWindow {
  /** A second, and what the clock of the replica's side may differ over it. */
  private static final long LENGTH_NANOS = 1_100_000_000L;

  private final ArrayDeque<Long> reservedNanos = new ArrayDeque<>();
  private final ArrayDeque<Long> sentNanos = new ArrayDeque<>();

  /**
   * Returns the number of requests that count.
   *
   * @param nowNanos the current time
   */
  int size(long nowNanos) {
    removeOld(reservedNanos, nowNanos);
    removeOld(sentNanos, nowNanos);
    return reservedNanos.size() + sentNanos.size();
  }

  /**
   * Counts a request that is about to be sent.
   *
   * @param nowNanos the current time
   */
  void reserve(long nowNanos) {
    removeOld(reservedNanos, nowNanos);
    reservedNanos.addLast(nowNanos);
  }

  /**
   * Counts a request that is sent now, in place of a reserved one if there is any.
   *
   * @param most the number of requests that may count
   * @param nowNanos the current time
   * @return false if the request may not be sent
   */
  boolean trySend(int most, long nowNanos) {
    if (size(nowNanos) > most || (reservedNanos.isEmpty() && sentNanos.size() >= most)) {
      return false;
    }
    reservedNanos.pollFirst();
    sentNanos.addLast(nowNanos);
    return true;
  }

  private static void removeOld(ArrayDeque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() >= LENGTH_NANOS) {
      times.removeFirst();
    }
  }
}
