package io.snipeloom.spend;

import io.snipeloom.state.RendezvousHash;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * What an instance knows of the time-of-day clocks of the fleet.
 *
 * <p>It bounds the time that has passed between two incarnations of an instance whose machine lost
 * power in between, so that no monotonic clock spans both. Each clock gives a bound of its own: the
 * most that it can show at the end, less the least that it can have shown at the beginning. A delay
 * of a message only raises that bound. A clock that was set back in between lowers its own bound,
 * so the result is one that at least a third of the clocks confirm or exceed; it is wrong only if
 * more than two thirds of them were set back meanwhile.
 *
 * <p>Not thread-safe.
 */
public final class FleetClock {
  /** The fewest clocks from which a time is bounded, with that of this instance. */
  static final int MIN_CLOCKS = 3;

  /** The most clocks that a usage report names, with that of this instance. */
  static final int MAX_CLOCKS = 8;

  /** The age from which a reading is no longer used. */
  private static final long MAX_READING_AGE_NANOS = 10_000_000_000L;

  /** The rounding and drift of the clocks during an inheritance, in milliseconds. */
  private static final long TOLERANCE_MILLIS = 50;

  private final String instance;
  private final LongSupplier wallOffsetMillis;
  private final Map<String, Reading> readings = new HashMap<>();

  /** The bounds of the time of day of another instance less the own monotonic time. */
  private record Reading(long leastOffsetMillis, long mostOffsetMillis, long receivedNanos) {}

  /**
   * Creates a clock that knows no other instance yet.
   *
   * @param instance the name of this instance
   * @param wallOffsetMillis returns the current time of day less the monotonic time
   */
  public FleetClock(String instance, LongSupplier wallOffsetMillis) {
    this.instance = instance;
    this.wallOffsetMillis = wallOffsetMillis;
  }

  /**
   * Records the time of day that another instance gave in response to a message.
   *
   * @param other the name of the other instance
   * @param wallMillis its time of day when it responded
   * @param sentNanos the monotonic time at which the message was sent
   * @param receivedNanos the monotonic time at which the response was received
   */
  public void onResponse(String other, long wallMillis, long sentNanos, long receivedNanos) {
    readings.put(
        other,
        new Reading(
            wallMillis - millis(receivedNanos) - 1, wallMillis - millis(sentNanos), receivedNanos));
  }

  /**
   * Returns what the clocks had certainly reached at a time. The clocks are always the same ones
   * while they respond, so that a later incarnation finds them again.
   */
  List<ClockReading> reachedAt(long nanos) {
    long millis = millis(nanos);
    List<ClockReading> reached = new ArrayList<>();
    reached.add(new ClockReading(instance, wallOffsetMillis.getAsLong() + millis));
    readings.entrySet().stream()
        .filter(entry -> nanos - entry.getValue().receivedNanos() < MAX_READING_AGE_NANOS)
        .sorted(Comparator.comparingLong(entry -> weight(entry.getKey())))
        .limit(MAX_CLOCKS - 1)
        .map(
            entry ->
                new ClockReading(entry.getKey(), entry.getValue().leastOffsetMillis() + millis))
        .forEach(reached::add);
    return reached;
  }

  private long weight(String other) {
    return RendezvousHash.weightOf(other, instance);
  }

  /**
   * Returns the longest time that can have passed between some readings and a time.
   *
   * @param earlier the readings of an earlier incarnation
   * @param nanos the monotonic time of the end
   * @return the time, in nanoseconds; empty if too few clocks that were read are known
   */
  OptionalLong maxElapsedNanos(List<ClockReading> earlier, long nanos) {
    List<Long> elapsed = new ArrayList<>();
    for (ClockReading reading : earlier) {
      mostAt(reading.instance(), nanos).ifPresent(most -> elapsed.add(most - reading.wallMillis()));
    }
    if (elapsed.size() < MIN_CLOCKS) {
      return OptionalLong.empty();
    }
    Collections.sort(elapsed);
    long confirmed = elapsed.get(elapsed.size() * 2 / 3);
    return OptionalLong.of(
        TimeUnit.MILLISECONDS.toNanos(Math.max(0, confirmed) + TOLERANCE_MILLIS));
  }

  /** Returns how many of the clocks that were read are known now. */
  int known(List<ClockReading> earlier) {
    return (int)
        earlier.stream()
            .filter(
                reading ->
                    reading.instance().equals(instance) || readings.containsKey(reading.instance()))
            .count();
  }

  private OptionalLong mostAt(String other, long nanos) {
    if (other.equals(instance)) {
      return OptionalLong.of(wallOffsetMillis.getAsLong() + millis(nanos) + 1);
    }
    Reading reading = readings.get(other);
    return reading == null
        ? OptionalLong.empty()
        : OptionalLong.of(reading.mostOffsetMillis() + millis(nanos) + 1);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
