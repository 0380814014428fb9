package io.snipeloom.forwarding;

import io.snipeloom.admission.AdmissionRequest;
import io.snipeloom.admission.AdmissionReview;
import io.snipeloom.admission.Predictions;
import io.snipeloom.admission.ServiceOutlook;
import io.snipeloom.cost.RequestCost;
import io.snipeloom.routing.Prompt;
import io.snipeloom.routing.ReplicaView;
import java.util.List;
import java.util.Optional;

/**
 * The admission of one request under load. Confined to the event loop thread.
 *
 * <p>Only model requests of routes with a target are decided about, at services whose engines are
 * described in the configuration and most of whose replicas state how long work takes on their
 * hosts. Without that the predictions are too uncertain to refuse anybody.
 */
final class ExchangeAdmission {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Fleet fleet;
  private final RoutedRequest request;
  private final long reviewedNanos;
  private final Optional<AdmissionReview> review;
  private boolean begun;

  /**
   * Decides whether the request is sent.
   *
   * @param fleet the replicas
   * @param request the request
   * @param nowNanos the current time
   */
  ExchangeAdmission(Fleet fleet, RoutedRequest request, long nowNanos) {
    this.fleet = fleet;
    this.request = request;
    this.reviewedNanos = nowNanos;
    List<ReplicaView> replicas = isDescribed() ? replicas(nowNanos) : List.of();
    this.review =
        mostStateTheirPace(replicas)
            ? Optional.of(reviewNow(replicas, nowNanos))
            : Optional.empty();
  }

  private boolean isDescribed() {
    return request.metadata().prompt().isPresent()
        && request.route().targetMillis() > 0
        && request
            .configuration()
            .service(request.service())
            .flatMap(service -> service.engine())
            .isPresent();
  }

  private List<ReplicaView> replicas(long nowNanos) {
    return fleet.availableReplicas(request.service()).stream()
        .filter(view -> view.willingness().takesRequests(nowNanos))
        .toList();
  }

  private static boolean mostStateTheirPace(List<ReplicaView> replicas) {
    long stating = replicas.stream().filter(view -> view.costs().pace().isStated()).count();
    return stating * 2 > replicas.size();
  }

  private AdmissionReview reviewNow(List<ReplicaView> replicas, long nowNanos) {
    Prompt prompt = request.metadata().prompt().get();
    long uncachedTokens = fleet.picker().leastUncachedTokens(replicas, prompt, nowNanos);
    Predictions predictions = (cost, tokens) -> outlook(replicas, cost, tokens, nowNanos);
    AdmissionRequest described =
        new AdmissionRequest(
            request.service(),
            request.route().name(),
            request.customerText(),
            request.priority(),
            request.route().targetMillis(),
            request.route().targetGapMillis(),
            request.remainingMillis(nowNanos),
            fleet.costOf(request),
            uncachedTokens);
    request.customer().ifPresent(customer -> fleet.onAsked(request.route().name(), customer.id()));
    return fleet.admission().review(described, predictions, nowNanos);
  }

  private ServiceOutlook outlook(
      List<ReplicaView> replicas, RequestCost cost, long uncachedTokens, long nowNanos) {
    return ServiceOutlook.of(
        replicas.stream()
            .map(view -> fleet.costs().predict(view, cost, uncachedTokens, nowNanos))
            .toList());
  }

  /** Returns the review, empty if the request is not one that is decided about. */
  Optional<AdmissionReview> review() {
    return review;
  }

  /** Records that the first event of the first replica arrived, from which predictions learn. */
  void onEvents(int sends, long nowNanos) {
    if (begun) {
      return;
    }
    begun = true;
    if (review.isPresent() && sends == 1) {
      double millis = (nowNanos - reviewedNanos) / NANOS_PER_MILLI;
      fleet.admission().onFirstEvent(request.route().name(), review.get(), millis);
    }
  }
}
