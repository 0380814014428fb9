package io.snipeloom.spend;

import java.util.concurrent.TimeUnit;

/**
 * Identifies the monotonic clock of a machine, which goes on over restarts of processes but starts
 * anew when the machine does.
 *
 * @param boot identifies the boot of the machine; empty if unknown
 * @param wallOffsetMillis the time of day less the monotonic clock, in milliseconds
 */
public record MachineClock(String boot, long wallOffsetMillis) {
  /** The time of day may be set by seconds while the machine runs. */
  private static final long MAX_WALL_STEP_MILLIS = 6_000;

  /**
   * Returns the identity of the clock that a process reads.
   *
   * @param boot identifies the boot of the machine; empty if unknown
   * @param wallMillis the time of day, in Unix milliseconds
   * @param nanos the monotonic clock
   * @return the identity
   */
  public static MachineClock of(String boot, long wallMillis, long nanos) {
    return new MachineClock(boot, wallMillis - TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  /**
   * Returns whether both are the same clock, as far as boot and time of day tell.
   *
   * <p>The boot alone settles it where its identity changes with each start of the machine; the
   * time of day guards machines on which it does not.
   *
   * @param other the other clock
   * @return true if nothing shows that the machine started in between
   */
  public boolean isSame(MachineClock other) {
    long difference = Math.abs(wallOffsetMillis - other.wallOffsetMillis);
    return !boot.isEmpty() && boot.equals(other.boot) && difference <= MAX_WALL_STEP_MILLIS;
  }

  /**
   * Returns the most time that can have passed since an earlier reading of the same clock.
   *
   * <p>A step of the time of day ahead counts as time too, since a short absence of the machine
   * looks the same.
   *
   * @param earlier the clock as it was identified then
   * @param earlierNanos the monotonic clock then
   * @param nowNanos the monotonic clock now
   * @return the time in nanoseconds
   */
  public long mostElapsedNanos(MachineClock earlier, long earlierNanos, long nowNanos) {
    long stepMillis = Math.max(0, wallOffsetMillis - earlier.wallOffsetMillis);
    return nowNanos - earlierNanos + TimeUnit.MILLISECONDS.toNanos(stepMillis);
  }
}
