package io.snipeloom.transport;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that other threads bring about. */
public final class Eventually {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private Eventually() {}

  /** Polls until the condition holds; fails after 30 seconds. */
  public static void await(String what, BooleanSupplier condition) {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("timed out waiting for: " + what);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
  }
}
