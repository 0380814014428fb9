package io.snipeloom.forwarding;

import io.snipeloom.resumption.OriginLookup;
import io.snipeloom.resumption.StreamContinuity;
import io.snipeloom.resumption.StreamOrigin;
import io.snipeloom.telemetry.FleetMetrics;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A stream that a caller resumes: finds what began it, since it may go on only there. Confined to
 * the event loop thread.
 */
final class ResumedStream {
  private final StreamContinuity streams;
  private final RoutedRequest request;
  private final ExchangeLog log;
  private final FleetMetrics metrics;

  /**
   * Creates the stream that a request resumes.
   *
   * @param streams knows what began the streams that callers resume
   * @param request the request
   * @param log the log lines of the request
   * @param metrics the request metrics
   */
  ResumedStream(
      StreamContinuity streams, RoutedRequest request, ExchangeLog log, FleetMetrics metrics) {
    this.streams = streams;
    this.request = request;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Finds what began the stream and calls one of the listeners, possibly before it returns.
   *
   * @param nowNanos the current time
   * @param onFound receives the origin
   * @param onRefused receives the reason why the stream cannot go on
   */
  void find(long nowNanos, Consumer<StreamOrigin> onFound, Consumer<String> onRefused) {
    Optional<String> resumedAttempt = request.metadata().resumedAttempt();
    if (resumedAttempt.isPresent()) {
      streams.find(resumedAttempt.get(), nowNanos, lookup -> decide(lookup, onFound, onRefused));
    } else {
      streams.findUnstated(
          request.service(), nowNanos, lookup -> decide(lookup, onFound, onRefused));
    }
  }

  private void decide(
      OriginLookup lookup, Consumer<StreamOrigin> onFound, Consumer<String> onRefused) {
    log.streamOrigin(request.metadata().resumedAttempt().orElse(""), lookup);
    metrics.count("stream_origin_" + lookup.source().name().toLowerCase(Locale.ROOT));
    Optional<StreamOrigin> found = lookup.origin();
    if (found.isEmpty()) {
      onRefused.accept("the origin of the stream is not known");
    } else if (!request.route().leadsTo(found.get().service())) {
      onRefused.accept("the route no longer leads to the service that began the stream");
    } else {
      onFound.accept(found.get());
    }
  }
}
