package io.snipeloom.forwarding;

import io.snipeloom.cost.PredictedService;
import io.snipeloom.cost.RequestCost;
import io.snipeloom.cost.RequestKind;
import io.snipeloom.routing.FleetCosts;
import io.snipeloom.routing.ReplicaView;
import io.snipeloom.routing.TrackedRequest;
import java.util.Optional;

/**
 * What one attempt costs its replica, and what its course teaches of later ones. Confined to the
 * event loop thread.
 */
final class AttemptWork {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final FleetCosts costs;
  private final RoutedRequest request;
  private final ReplicaView view;
  private final Optional<TrackedRequest> tracked;
  private final PredictedService predicted;
  private final double pace;
  private final double runningBefore;
  private final long sentNanos;

  private AttemptWork(
      FleetCosts costs,
      RoutedRequest request,
      ReplicaView view,
      Optional<TrackedRequest> tracked,
      PredictedService predicted,
      long sentNanos) {
    this.costs = costs;
    this.request = request;
    this.view = view;
    this.tracked = tracked;
    this.predicted = predicted;
    this.pace = view.costs().pace().factor(sentNanos);
    this.runningBefore = costs.running(view, sentNanos);
    this.sentNanos = sentNanos;
  }

  /** Counts a request that is sent to a replica, before its load counts it. */
  static AttemptWork of(
      Fleet fleet, RoutedRequest request, ReplicaView view, long uncachedTokens, long sentNanos) {
    RequestCost cost = fleet.costOf(request);
    PredictedService predicted = fleet.costs().predict(view, cost, uncachedTokens, sentNanos);
    Optional<TrackedRequest> tracked =
        request.kind().map(kind -> fleet.costs().onSent(view, cost, uncachedTokens, sentNanos));
    return new AttemptWork(fleet.costs(), request, view, tracked, predicted, sentNanos);
  }

  /**
   * Records events of the stream.
   *
   * @param events the number of events of this attempt so far
   * @param nowNanos the current time
   */
  void onEvents(int events, long nowNanos) {
    tracked.ifPresent(running -> running.onEvents(events, nowNanos));
  }

  /**
   * Records the end of a complete response.
   *
   * @param succeeded whether the replica ran the request to a good end
   * @param nowNanos the current time
   */
  void onCompleted(boolean succeeded, long nowNanos) {
    if (!succeeded) {
      return;
    }
    if (tracked.isEmpty()) {
      costs.onWork(view, request.route().name(), runningBefore, nowNanos - sentNanos, nowNanos);
      return;
    }
    double output = tracked.get().outputTokens();
    if (output > 0 && request.metadata().lastEventId().isEmpty()) {
      RequestKind kind = request.kind().get();
      costs.estimator().record(kind, output);
    }
  }

  /** Returns what the request cost and what was predicted; empty if it has no prompt. */
  Optional<CostOutcome> outcome() {
    return tracked.map(
        running ->
            new CostOutcome(
                request.route().name(),
                Math.round(running.estimatedTokens()),
                Math.round(running.outputTokens()),
                predicted,
                running.firstEventNanos() / NANOS_PER_MILLI,
                pace));
  }

  /** Takes the request out of the work of the replica. */
  void onEnded() {
    tracked.ifPresent(TrackedRequest::onEnded);
  }
}
