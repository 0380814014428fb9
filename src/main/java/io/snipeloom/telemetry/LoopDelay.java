package io.snipeloom.telemetry;

/**
 * Measures how late an event loop runs a task that is due at a fixed interval. Not thread-safe.
 *
 * <p>Until the task runs again, a loop that is blocked counts as late for as long as the task is
 * overdue.
 */
public final class LoopDelay {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long intervalNanos;
  private long lastTickNanos;

  /**
   * Creates a measure that counts from now on.
   *
   * @param intervalMillis the interval at which the task is due, in milliseconds
   * @param nowNanos the current time, as {@link System#nanoTime}
   */
  public LoopDelay(long intervalMillis, long nowNanos) {
    this.intervalNanos = intervalMillis * NANOS_PER_MILLI;
    this.lastTickNanos = nowNanos;
  }

  /**
   * Records that the task runs, and returns how late it is.
   *
   * @param nowNanos the current time, as {@link System#nanoTime}
   * @return the delay in milliseconds
   */
  public long onTick(long nowNanos) {
    long delayMillis = millis(nowNanos);
    lastTickNanos = nowNanos;
    return delayMillis;
  }

  /**
   * Returns how long the task is overdue.
   *
   * @param nowNanos the current time, as {@link System#nanoTime}
   * @return the delay in milliseconds, 0 if the task is not due yet
   */
  public long millis(long nowNanos) {
    return Math.max(0, nowNanos - lastTickNanos - intervalNanos) / NANOS_PER_MILLI;
  }
}
