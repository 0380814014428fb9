package io.snipeloom.routing;

import io.snipeloom.state.Moment;
import java.util.concurrent.TimeUnit;

/**
 * How long an entry of the registry holds without a heartbeat of its replica.
 *
 * <p>Immutable and thread-safe.
 *
 * @param heartbeatMillis the time between two heartbeats of a replica, in milliseconds
 */
public record LeaseTerms(long heartbeatMillis) {
  /** The heartbeats without which an entry lapses. */
  private static final int MISSED_HEARTBEATS = 3;

  /**
   * The shortest time in which the registry can miss so many heartbeats, in heartbeats: two of them
   * are one apart, and less since they are not exact; the third is due when the entry lapses.
   */
  private static final double SHORTEST_ABSENCE = 0.8;

  /** The longest time between two heartbeats of a live replica, in heartbeats. */
  private static final double LONGEST_INTERVAL = 1.25;

  /** Creates terms. */
  public LeaseTerms {
    if (heartbeatMillis <= 0) {
      throw new IllegalArgumentException("heartbeats must be some time apart");
    }
  }

  /**
   * Returns whether an entry may have lapsed.
   *
   * @param renewedAfter a moment after which the entry was renewed last
   * @param now the current moment
   */
  public boolean mayHaveLapsed(Moment renewedAfter, Moment now) {
    return now.maxElapsedNanosSince(renewedAfter) >= heartbeatNanos(MISSED_HEARTBEATS);
  }

  /**
   * Returns whether entries of live replicas may lapse because the registry is unavailable.
   *
   * @param unavailableNanos for how long it is, in nanoseconds
   */
  public boolean mayLapseWithin(long unavailableNanos) {
    return unavailableNanos >= heartbeatNanos(SHORTEST_ABSENCE);
  }

  /**
   * Returns a moment after which live replicas renewed their entries.
   *
   * @param available when the registry was available
   */
  public Moment renewedAfter(Moment available) {
    return available.plusMillis((long) (-LONGEST_INTERVAL * heartbeatMillis));
  }

  private long heartbeatNanos(double count) {
    return (long) (count * TimeUnit.MILLISECONDS.toNanos(heartbeatMillis));
  }
}
