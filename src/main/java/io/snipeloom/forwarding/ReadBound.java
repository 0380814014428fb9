package io.snipeloom.forwarding;

import java.util.function.LongSupplier;

/**
 * Bounds how long one connection is read while others wait for the event loop. A peer that sends as
 * fast as it is read would otherwise never let it go. Not thread-safe.
 */
final class ReadBound {
  /** What a response of the longest body, of which all has arrived, takes. */
  static final int MAX_ROUNDS = 80;

  /** What is read however long it takes, so that a short response is found on a busy machine. */
  static final int MIN_ROUNDS = 4;

  /** A small part of the patience of any caller. */
  static final long MAX_NANOS = 10_000_000L;

  private final LongSupplier nanoTime;
  private final long startNanos;
  private int rounds;

  /**
   * Creates the bound of one look at a connection, which begins now.
   *
   * @param nanoTime a monotonic clock
   */
  ReadBound(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.startNanos = nanoTime.getAsLong();
  }

  /** Counts a round of reading and returns whether it may take place. */
  boolean tryRound() {
    rounds++;
    if (rounds <= MIN_ROUNDS) {
      return true;
    }
    return rounds <= MAX_ROUNDS && nanoTime.getAsLong() - startNanos < MAX_NANOS;
  }
}
