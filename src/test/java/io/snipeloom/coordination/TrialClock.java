package io.snipeloom.coordination;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/** Virtual time with the events that are due in it; events at one instant run in order. */
final class TrialClock implements LongSupplier {
  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long now;
  private long number;

  private record Event(long at, long number, Runnable action) {}

  @Override
  public long getAsLong() {
    return now;
  }

  void after(long nanos, Runnable action) {
    events.add(new Event(now + Math.max(0, nanos), number++, action));
  }

  void every(long nanos, Runnable action) {
    after(
        nanos,
        () -> {
          action.run();
          every(nanos, action);
        });
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    now = end;
  }
}
