package io.snipeloom.forwarding;

/**
 * When a call that may be repeated is made again on a new connection.
 *
 * <p>Immutable and thread-safe.
 *
 * @param overdueMillis the time until the response of the first try is overdue, in milliseconds
 * @param repeatMillis the time until that of a later try is, in milliseconds; also the pause after
 *     which a response that has begun is overdue
 * @param tries the most tries, the first one included
 */
public record RepeatPolicy(long overdueMillis, long repeatMillis, int tries) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Creates a policy. */
  public RepeatPolicy {
    if (overdueMillis < 0 || repeatMillis <= 0 || tries < 2) {
      throw new IllegalArgumentException("a call is repeated at least once, after some time");
    }
  }

  /**
   * Returns the time until the call fails if nothing is answered, in milliseconds: each try stays
   * open until then, since the connection of an earlier one may only be slow.
   */
  long timeoutMillis() {
    return overdueMillis + (tries - 1) * repeatMillis;
  }

  /**
   * Returns when a response to a try is overdue.
   *
   * @param number the number of the try, from 1
   */
  SilenceLimits limits(int number) {
    long firstMillis = number == 1 ? overdueMillis : repeatMillis;
    return new SilenceLimits(firstMillis * NANOS_PER_MILLI, repeatMillis * NANOS_PER_MILLI);
  }

  /**
   * Returns the time from the start of a try until the call fails, in milliseconds.
   *
   * @param number the number of the try, from 1
   */
  long remainingMillis(int number) {
    return number == 1 ? timeoutMillis() : (tries - number + 1) * repeatMillis;
  }
}
