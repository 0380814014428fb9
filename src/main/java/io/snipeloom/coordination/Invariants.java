package io.snipeloom.coordination;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.snipeloom.state.ErrorCode;
import io.snipeloom.state.LogLine;
import io.snipeloom.state.SnipeloomException;

/** Reports violations of the invariants of attempts. */
final class Invariants {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private Invariants() {}

  /** Counts and logs a violation and returns the exception for the caller to throw. */
  static SnipeloomException violated(
      MetricRegistry metrics, String message, SidecarAttempt attempt) {
    metrics.counter("sidecar.invariants.violated").inc();
    logger.atSevere().log(
        "%s",
        LogLine.of("invariant.violated")
            .with("message", message)
            .with("holder", attempt.holder())
            .with("attempt", attempt.id().sequence()));
    return SnipeloomException.of(ErrorCode.INVARIANT_VIOLATED, message)
        .withOrigin("sidecar", attempt.holder().value());
  }
}
