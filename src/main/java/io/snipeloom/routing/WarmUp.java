package io.snipeloom.routing;

/**
 * For how long one incarnation of a replica counts as cold, by its registry entries, its answers
 * and what this instance has seen of it.
 *
 * <p>A replica is cold for the whole time of a start when it appears while this instance follows
 * the registry, when its entry or a connection to it is back, and after an evacuation. An entry may
 * be older than what was observed, and so ends only what entries had begun. Afterwards the load
 * returns in steps. Not thread-safe.
 */
public final class WarmUp {
  /** The rate of a replica that gets as many requests as any. */
  static final int UNBOUNDED = Integer.MAX_VALUE;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How long a replica that was out of reach can have been down with its entry still there. */
  private static final long UNNOTICED_DOWN_NANOS = 5_000_000_000L;

  /** The length of a step, in which twice the rate of the one before may be sent. */
  private static final long STEP_NANOS = 1_000_000_000L;

  /** The number of steps between a cold replica and one that gets as many requests as any. */
  private static final int STEPS = 2;

  private Period byEntry = Period.NEVER;
  private Period byObservation = Period.NEVER;
  private Period outOfReach = Period.NEVER;
  private long lastSequence;

  /** A time from a moment on: a known length, a whole start, or both one after the other. */
  private record Period(boolean known, long startNanos, long lengthNanos, boolean wholeStart) {
    static final Period NEVER = new Period(false, 0, 0, false);

    static Period ofStart(long startNanos) {
      return new Period(true, startNanos, 0, true);
    }

    static Period of(ColdReport report, long startNanos) {
      return report.kind() == ColdReport.Kind.UNREADABLE
          ? ofStart(startNanos)
          : new Period(true, startNanos, report.millis() * NANOS_PER_MILLI, false);
    }

    /** Returns the time until the end; negative if it is over. */
    long remainingNanos(ColdStart coldStart, long nowNanos) {
      if (!known) {
        return Long.MIN_VALUE;
      }
      long wholeNanos = wholeStart ? coldStart.millis() * NANOS_PER_MILLI : 0;
      return lengthNanos + wholeNanos - (nowNanos - startNanos);
    }

    /** Returns this period, which ends now if it began before a moment. */
    Period endedIfBefore(long momentNanos, long nowNanos) {
      boolean ends = known && momentNanos - startNanos >= 0;
      return ends ? new Period(true, nowNanos, 0, false) : this;
    }
  }

  /**
   * Records the first entry of the incarnation.
   *
   * @param entry the entry
   * @param appeared whether it appeared while this instance followed the registry; otherwise the
   *     replica may have been there for long
   * @param nowNanos the current time
   */
  public void onFirstEntry(Replica entry, boolean appeared, long nowNanos) {
    lastSequence = entry.sequence();
    if (entry.cold().isCold()) {
      byEntry = Period.of(entry.cold(), nowNanos);
    }
    if (appeared || entry.cold().kind() == ColdReport.Kind.NONE) {
      byEntry = Period.ofStart(nowNanos);
    }
  }

  /**
   * Records a further entry. One that is older than the last, such as one of an outdated listing,
   * changes nothing.
   *
   * @param entry the entry
   * @param nowNanos the current time
   */
  public void onEntry(Replica entry, long nowNanos) {
    if (entry.sequence() < lastSequence) {
      return;
    }
    boolean newer = entry.sequence() > lastSequence;
    lastSequence = entry.sequence();
    if (entry.cold().isCold()) {
      byEntry = Period.of(entry.cold(), nowNanos);
    } else if (newer && entry.cold().isWarm()) {
      byEntry = byEntry.endedIfBefore(nowNanos, nowNanos);
    }
  }

  /**
   * Records what an answer says.
   *
   * @param report what it says
   * @param sentNanos when its request was sent
   * @param coldStart the cold start of the service
   * @param nowNanos the current time
   */
  public void onAnswer(ColdReport report, long sentNanos, ColdStart coldStart, long nowNanos) {
    if (report.isCold()) {
      Period stated = Period.of(report, nowNanos);
      boolean longer =
          stated.remainingNanos(coldStart, nowNanos)
              > byObservation.remainingNanos(coldStart, nowNanos);
      if (longer || sentNanos - byObservation.startNanos() >= 0) {
        byObservation = stated;
      }
    } else if (report.isWarm()) {
      byEntry = byEntry.endedIfBefore(sentNanos, nowNanos);
      byObservation = byObservation.endedIfBefore(sentNanos, nowNanos);
      outOfReach = outOfReach.endedIfBefore(sentNanos, nowNanos);
    }
  }

  /**
   * Records that the replica could not be reached. It may come back cold at any moment.
   *
   * @param nowNanos the current time
   */
  public void onOutOfReach(long nowNanos) {
    outOfReach = new Period(true, nowNanos, UNNOTICED_DOWN_NANOS, true);
  }

  /**
   * Records that the replica was reached. If it was out of reach before, it has possibly just
   * started.
   *
   * @param coldStart the cold start of the service
   * @param nowNanos the current time
   */
  public void onReached(ColdStart coldStart, long nowNanos) {
    if (outOfReach.remainingNanos(coldStart, nowNanos) > 0) {
      onPossibleStart(nowNanos);
    }
    outOfReach = Period.NEVER;
  }

  /**
   * Records that the replica has possibly just become cold, which no entry needs to say.
   *
   * @param nowNanos the current time
   */
  public void onPossibleStart(long nowNanos) {
    byObservation = Period.ofStart(nowNanos);
  }

  /**
   * Returns how long the replica still counts as cold, in nanoseconds.
   *
   * @param coldStart the cold start of the service
   * @param nowNanos the current time
   * @return the time; 0 or less if the replica is not cold
   */
  long remainingNanos(ColdStart coldStart, long nowNanos) {
    long observed =
        Math.max(
            byObservation.remainingNanos(coldStart, nowNanos),
            outOfReach.remainingNanos(coldStart, nowNanos));
    return Math.max(observed, byEntry.remainingNanos(coldStart, nowNanos));
  }

  /**
   * Returns the requests a second that all instances together send to the replica.
   *
   * @param coldStart the cold start of the service
   * @param nowNanos the current time
   * @return the number, {@link #UNBOUNDED} if the load has returned
   */
  int requestsPerSecond(ColdStart coldStart, long nowNanos) {
    long remainingNanos = remainingNanos(coldStart, nowNanos);
    if (!coldStart.isBounded() || remainingNanos <= -STEPS * STEP_NANOS) {
      return UNBOUNDED;
    }
    int step = remainingNanos > 0 ? 0 : 1 + (int) (-remainingNanos / STEP_NANOS);
    return coldStart.wholePerSecond() << step;
  }
}
