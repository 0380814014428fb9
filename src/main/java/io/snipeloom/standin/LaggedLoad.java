package io.snipeloom.standin;

import io.snipeloom.client.EngineLoad;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The load of an engine, reported with a delay. Thread-safe. */
final class LaggedLoad {
  private static final int MAX_SAMPLES = 100_000;

  private final LongSupplier nanos;
  private final Deque<Sample> samples = new ArrayDeque<>();

  LaggedLoad(LongSupplier nanos, EngineLoad initial) {
    this.nanos = nanos;
    samples.add(new Sample(nanos.getAsLong(), initial));
  }

  /** Records the current load. */
  synchronized void update(EngineLoad load) {
    if (samples.getLast().load().equals(load)) {
      return;
    }
    samples.addLast(new Sample(nanos.getAsLong(), load));
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** Returns the load as of {@code lagMillis} ago. */
  synchronized EngineLoad report(long lagMillis) {
    long visibleUntil = nanos.getAsLong() - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    EngineLoad load = samples.getFirst().load();
    while (samples.size() > 1 && samples.getFirst().at() - visibleUntil <= 0) {
      load = samples.removeFirst().load();
    }
    if (samples.getFirst().at() - visibleUntil <= 0) {
      return samples.getFirst().load();
    }
    samples.addFirst(new Sample(visibleUntil, load));
    return load;
  }

  private record Sample(long at, EngineLoad load) {}
}
