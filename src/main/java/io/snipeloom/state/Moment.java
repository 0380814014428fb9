package io.snipeloom.state;

import java.util.concurrent.TimeUnit;

/**
 * A moment, as read from both clocks of this machine.
 *
 * <p>The monotonic clock does not count the time for which the machine is suspended, and the wall
 * clock may step. Immutable and thread-safe.
 *
 * @param nanos the monotonic time, in nanoseconds
 * @param wallMillis the wall clock time, in milliseconds since the Unix epoch
 */
public record Moment(long nanos, long wallMillis) {

  /**
   * Returns the longest time that can have passed since an earlier moment. A forward step of the
   * wall clock counts, since it cannot be told from a suspension of the machine.
   *
   * @param earlier the earlier moment
   * @return the time, in nanoseconds
   */
  public long maxElapsedNanosSince(Moment earlier) {
    return Math.max(
        nanos - earlier.nanos, TimeUnit.MILLISECONDS.toNanos(wallMillis - earlier.wallMillis));
  }

  /**
   * Returns the moment some time later.
   *
   * @param millis the time, in milliseconds
   */
  public Moment plusMillis(long millis) {
    return new Moment(nanos + TimeUnit.MILLISECONDS.toNanos(millis), wallMillis + millis);
  }

  /** Returns the earlier of two moments, by the monotonic clock. */
  public static Moment earlier(Moment one, Moment other) {
    return one.nanos - other.nanos <= 0 ? one : other;
  }

  /** Returns the later of two moments, by the monotonic clock. */
  public static Moment later(Moment one, Moment other) {
    return one.nanos - other.nanos >= 0 ? one : other;
  }
}
