package io.snipeloom.forwarding;

/**
 * How long a peer may be silent before its response is overdue. One that has begun and goes on is
 * never overdue, however long it is; one that has begun and stopped is, like one that never came.
 *
 * @param firstNanos the time from the call to the head of the response
 * @param pauseNanos the time from the last bytes to the next ones, once it has begun
 */
record SilenceLimits(long firstNanos, long pauseNanos) {

  /** Creates limits. */
  SilenceLimits {
    if (firstNanos < 0 || pauseNanos <= 0) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }

  /**
   * Returns the time until the response is overdue unless more of it arrives; 0 if it is.
   *
   * @param hasBegun whether its head has arrived
   * @param startNanos when the call was made
   * @param lastBytesNanos when some of the response arrived last; unused if it has not begun
   * @param nowNanos the current time
   */
  long remainingNanos(boolean hasBegun, long startNanos, long lastBytesNanos, long nowNanos) {
    long limit = hasBegun ? lastBytesNanos + pauseNanos : startNanos + firstNanos;
    return Math.max(0, limit - nowNanos);
  }
}
