package io.snipeloom.forwarding;

import io.snipeloom.routing.RequestLimits;

/**
 * The time limits of the connection of a caller on which no request is being processed. Not
 * thread-safe.
 */
final class CallerTimeouts {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The time limit for receiving a body after its header. */
  private static final long BODY_NANOS = 10_000 * NANOS_PER_MILLI;

  /**
   * The time without a byte written after which a caller counts as gone. A caller that reads a
   * kilobyte a second makes room for the next part within half of it.
   */
  private static final long UNREAD_NANOS = 60_000 * NANOS_PER_MILLI;

  private boolean inHeader;
  private long headerBeginNanos;
  private long headerEndNanos;
  private long idleSinceNanos;

  /** The time limit that has passed. */
  enum Expiry {
    /** None. */
    NONE,
    /** A header has begun and was not received in time. */
    HEADER,
    /** A header was received and its body was not received in time. */
    BODY,
    /** The caller has read nothing of a response for too long. */
    UNREAD,
    /** No request has begun for too long. */
    IDLE
  }

  CallerTimeouts(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  /** Records bytes that can belong to a header only. */
  void onHeaderBytes(long nowNanos) {
    if (!inHeader) {
      inHeader = true;
      headerBeginNanos = nowNanos;
    }
  }

  /** Records the end of a header. */
  void onHeader(long nowNanos) {
    inHeader = false;
    headerEndNanos = nowNanos;
  }

  /** Records the end of a request. */
  void onRequestEnded(long nowNanos) {
    inHeader = false;
    idleSinceNanos = nowNanos;
  }

  /** Records that the caller has read all responses. */
  void onAllRead(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  /** Returns when the header ended that was received last. */
  long headerEndNanos() {
    return headerEndNanos;
  }

  /**
   * Returns the time limit that has passed.
   *
   * @param inBody whether a header was received whose body is not complete
   * @param writer writes the responses to the caller
   * @param limits the configured limits
   * @param nowNanos the current time
   */
  Expiry expired(boolean inBody, CallerWriter writer, RequestLimits limits, long nowNanos) {
    if (inBody) {
      return passed(nowNanos - headerEndNanos, BODY_NANOS, Expiry.BODY);
    }
    if (inHeader && writer.takesNextResponse()) {
      long headerNanos = limits.headerTimeoutMillis() * NANOS_PER_MILLI;
      return passed(nowNanos - headerBeginNanos, headerNanos, Expiry.HEADER);
    }
    if (!writer.isIdle()) {
      return passed(nowNanos - writer.lastProgressNanos(), UNREAD_NANOS, Expiry.UNREAD);
    }
    long idleNanos = limits.idleTimeoutMillis() * NANOS_PER_MILLI;
    return passed(nowNanos - idleSinceNanos, idleNanos, Expiry.IDLE);
  }

  private static Expiry passed(long nanos, long limitNanos, Expiry expiry) {
    return nanos > limitNanos ? expiry : Expiry.NONE;
  }
}
