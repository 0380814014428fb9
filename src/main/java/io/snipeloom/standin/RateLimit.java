package io.snipeloom.standin;

import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.SnipeloomException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Spreads bytes over time at a fixed rate. Thread-safe. */
final class RateLimit {
  private static final long MAX_BACKLOG_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final long bytesPerSecond;
  private final LongSupplier nanos;

  private long freeAt;

  RateLimit(long bytesPerSecond, LongSupplier nanos) {
    if (bytesPerSecond <= 0) {
      throw SnipeloomException.of(
          ErrorCode.INVALID_SETTINGS, "the bytes per second must be positive");
    }
    this.bytesPerSecond = bytesPerSecond;
    this.nanos = nanos;
    this.freeAt = nanos.getAsLong();
  }

  /** Takes bytes out of the rate and returns how long the answer must wait. */
  synchronized Duration take(long bytes) {
    long now = nanos.getAsLong();
    long start = freeAt - now > 0 ? freeAt : now;
    if (start - now > MAX_BACKLOG_NANOS) {
      throw SnipeloomException.of(ErrorCode.OVERLOADED, "the rate of the store is used up")
          .withRetryAfter(Duration.ofNanos(start - now));
    }
    double seconds = (double) bytes / bytesPerSecond;
    freeAt = start + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    return Duration.ofNanos(freeAt - now);
  }
}
