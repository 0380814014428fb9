package io.snipeloom.forwarding;

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
  private final FleetCosts costs;
  private final RoutedRequest request;
  private final ReplicaView view;
  private final Optional<TrackedRequest> tracked;
  private final double runningBefore;
  private final long sentNanos;

  private AttemptWork(
      FleetCosts costs,
      RoutedRequest request,
      ReplicaView view,
      Optional<TrackedRequest> tracked,
      long sentNanos) {
    this.costs = costs;
    this.request = request;
    this.view = view;
    this.tracked = tracked;
    this.runningBefore = costs.running(view, sentNanos);
    this.sentNanos = sentNanos;
  }

  /** Counts a request that is sent to a replica, before its load counts it. */
  static AttemptWork of(
      Fleet fleet, RoutedRequest request, ReplicaView view, long uncachedTokens, long sentNanos) {
    RequestCost cost = fleet.costOf(request);
    Optional<TrackedRequest> tracked =
        request.kind().map(kind -> fleet.costs().onSent(view, cost, uncachedTokens, sentNanos));
    return new AttemptWork(fleet.costs(), request, view, tracked, sentNanos);
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

  /** Takes the request out of the work of the replica. */
  void onEnded() {
    tracked.ifPresent(TrackedRequest::onEnded);
  }
}
