package io.snipeloom.coordination;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/**
 * A virtual clock with scheduled events. Events that are due at the same time run in the order in
 * which they were scheduled.
 */
final class VirtualClock implements LongSupplier {
  /** One millisecond in nanoseconds. */
  static final long MILLI = 1_000_000L;

  /** One second in nanoseconds. */
  static final long SECOND = 1_000_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::number));
  private long nowNanos;
  private long nextNumber;

  private record Event(long dueNanos, long number, Runnable action) {}

  @Override
  public long getAsLong() {
    return nowNanos;
  }

  void runAfter(long nanos, Runnable action) {
    events.add(new Event(nowNanos + Math.max(0, nanos), nextNumber++, action));
  }

  void runEvery(long nanos, Runnable action) {
    runAfter(
        nanos,
        () -> {
          action.run();
          runEvery(nanos, action);
        });
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().dueNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.dueNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }
}
