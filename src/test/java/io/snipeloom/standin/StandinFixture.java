package io.snipeloom.standin;

import io.snipeloom.client.ClientTimeouts;
import io.snipeloom.state.SnipeloomException;
import java.net.URI;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Shared helpers for the tests of the stand-ins. */
final class StandinFixture {
  static final ClientTimeouts SHORT_TIMEOUTS =
      new ClientTimeouts(Duration.ofSeconds(2), Duration.ofMillis(700));

  private static final long DEADLINE_NANOS = Duration.ofSeconds(20).toNanos();

  private StandinFixture() {}

  static URI uri(int port) {
    return URI.create("http://127.0.0.1:" + port);
  }

  static SnipeloomException failureOf(Runnable action) {
    try {
      action.run();
    } catch (SnipeloomException e) {
      return e;
    }
    throw new AssertionError("expected a SnipeloomException");
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > DEADLINE_NANOS) {
        throw new AssertionError("condition did not hold before the deadline");
      }
      Thread.sleep(5);
    }
  }
}
