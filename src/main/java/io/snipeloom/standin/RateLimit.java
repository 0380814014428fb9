package io.snipeloom.standin;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Limits the transfer of bytes to a fixed rate and rejects requests if the backlog is too long.
 * Thread-safe.
 */
final class RateLimit {
  private static final long MAX_BACKLOG_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final long bytesPerSecond;
  private final LongSupplier nanos;

  private long availableAt;

  RateLimit(long bytesPerSecond, LongSupplier nanos) {
    if (bytesPerSecond <= 0) {
      throw SnipeloomException.of(ErrorCode.INVALID_SETTINGS, "bytesPerSecond must be positive");
    }
    this.bytesPerSecond = bytesPerSecond;
    this.nanos = nanos;
    this.availableAt = nanos.getAsLong();
  }

  /** Reserves the transfer of bytes and returns the delay after which the transfer is complete. */
  synchronized Duration reserve(long bytes) {
    long now = nanos.getAsLong();
    long start = availableAt - now > 0 ? availableAt : now;
    if (start - now > MAX_BACKLOG_NANOS) {
      throw SnipeloomException.of(
              ErrorCode.OVERLOADED, "the transfer backlog of the weight store is too long")
          .withRetryAfter(Duration.ofNanos(start - now));
    }
    double seconds = (double) bytes / bytesPerSecond;
    availableAt = start + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    return Duration.ofNanos(availableAt - now);
  }
}
