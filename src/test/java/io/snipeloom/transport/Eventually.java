package io.snipeloom.transport;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for what other threads do. */
public final class Eventually {
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private Eventually() {}

  /** Polls until the condition holds; fails after a generous limit. */
  public static void await(String what, BooleanSupplier condition) {
    long deadline = System.nanoTime() + LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("did not happen in time: " + what);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
  }
}
