package io.snipeloom.forwarding;

/**
 * Decides which requests this instance still sends to replicas once it shuts down. Confined to the
 * event loop thread.
 */
final class ShutdownAdmission {
  private final StreamDurations durations = new StreamDurations();
  private ShutdownDeadline deadline = ShutdownDeadline.NONE;

  /** Records that this instance shuts down. */
  void begin(ShutdownDeadline known) {
    deadline = known;
  }

  /** Records a stream that was relayed to its end. */
  void onStreamCompleted(RoutedRequest request, long nanos, long nowNanos) {
    if (request.route().isResumableStream()) {
      durations.record(request.route().name(), nanos, nowNanos);
    }
  }

  /** Returns whether this instance runs for as long as a request may take that is sent now. */
  boolean maySend(RoutedRequest request, long nowNanos) {
    return deadline.allows(
        request.route(), request.deadlineNanos(), likelyEndNanos(request, nowNanos), nowNanos);
  }

  /** Returns when a stream is likely to have ended; its time limit if no stream tells. */
  private long likelyEndNanos(RoutedRequest request, long nowNanos) {
    long limitNanos = request.deadlineNanos() - nowNanos;
    long likelyNanos = durations.longestNanos(request.route().name(), nowNanos).orElse(limitNanos);
    return nowNanos + Math.min(limitNanos, likelyNanos);
  }
}
