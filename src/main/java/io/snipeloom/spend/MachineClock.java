package io.snipeloom.spend;

import java.util.concurrent.TimeUnit;

/**
 * Identifies the monotonic clock of a machine. The clock continues across process restarts but
 * starts again when the machine reboots.
 *
 * @param boot the boot ID of the machine; empty if unknown
 * @param wallOffsetMillis the wall clock time minus the monotonic time, in milliseconds
 */
public record MachineClock(String boot, long wallOffsetMillis) {
  /**
   * The largest difference of wall clock offsets that still counts as the same clock. The wall
   * clock may be adjusted by some seconds while the machine runs.
   */
  private static final long MAX_WALL_STEP_MILLIS = 6_000;

  /**
   * Returns whether a clock has run for so long that an earlier reading of the same machine's clock
   * shows whether it started anew. The wall clock may hide a reboot that was this recent.
   *
   * @param nanos the monotonic time, in nanoseconds
   */
  static boolean isOld(long nanos) {
    return nanos >= TimeUnit.MILLISECONDS.toNanos(MAX_WALL_STEP_MILLIS);
  }

  /**
   * Identifies the clock from a simultaneous reading of the wall clock and the monotonic clock.
   *
   * @param boot the boot ID of the machine; empty if unknown
   * @param wallMillis the wall clock time, in milliseconds since the Unix epoch
   * @param nanos the monotonic time, in nanoseconds
   */
  public static MachineClock of(String boot, long wallMillis, long nanos) {
    return new MachineClock(boot, wallMillis - TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  /**
   * Returns whether both identify the same clock, judging by boot ID and wall clock offset.
   *
   * <p>The boot ID suffices on machines where it changes with every boot. The wall clock offset
   * detects reboots on machines where it does not.
   *
   * @param other the other clock
   * @return true if the boot IDs are known and equal and there is no other sign of a reboot
   */
  public boolean isSame(MachineClock other) {
    long difference = Math.abs(wallOffsetMillis - other.wallOffsetMillis);
    return !boot.isEmpty() && boot.equals(other.boot) && difference <= MAX_WALL_STEP_MILLIS;
  }

  /**
   * Returns the longest time that can have passed since an earlier reading of the same clock.
   *
   * <p>A forward step of the wall clock counts as elapsed time, since it cannot be distinguished
   * from a short suspension of the machine.
   *
   * @param earlier the clock as identified at the earlier reading
   * @param earlierNanos the monotonic time of the earlier reading
   * @param nowNanos the current monotonic time
   * @return the time, in nanoseconds
   */
  public long maxElapsedNanos(MachineClock earlier, long earlierNanos, long nowNanos) {
    long stepMillis = Math.max(0, wallOffsetMillis - earlier.wallOffsetMillis);
    return nowNanos - earlierNanos + TimeUnit.MILLISECONDS.toNanos(stepMillis);
  }
}
