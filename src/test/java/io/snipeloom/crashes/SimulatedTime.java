package io.snipeloom.crashes;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/** Runs tasks in the order of their simulated times. Not thread-safe. */
final class SimulatedTime {
  static final long MILLI = 1_000_000L;

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private long nowNanos;
  private long sequence;

  private record Event(long atNanos, long sequence, Runnable task) {}

  SimulatedTime(long seed) {
    this.random = new Random(seed);
  }

  /** Returns the source of everything that is drawn. */
  Random random() {
    return random;
  }

  long nowNanos() {
    return nowNanos;
  }

  long nowMillis() {
    return nowNanos / MILLI;
  }

  /** Returns a number that grows with each task that is scheduled. */
  long sequence() {
    return sequence;
  }

  void after(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + delayNanos, sequence++, task));
  }

  void every(long intervalNanos, Runnable task) {
    after(
        intervalNanos,
        () -> {
          task.run();
          every(intervalNanos, task);
        });
  }

  /** Returns the time until the next of events that come at random. */
  long drawIntervalNanos(double perSecond) {
    return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
  }

  /** Runs all tasks up to a time. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
  }
}
