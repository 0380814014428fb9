package io.snipeloom.forwarding;

import io.snipeloom.routing.ReplicaView;
import java.util.List;
import java.util.Optional;

/**
 * The replica chosen for the next attempt of a request, or why there is none. Immutable.
 *
 * @param picked the replica, empty if none may receive the request now
 * @param uncachedTokens the prompt tokens that the replica is expected to process; 0 if none
 * @param reason why there is no replica, empty if there is one
 * @param retryMillis how long it takes until a replica accepts requests again, in milliseconds; 0
 *     if that is not known
 */
record ReplicaChoice(
    Optional<ReplicaView> picked, long uncachedTokens, String reason, long retryMillis) {

  /**
   * Chooses a replica and counts the request as sent to it.
   *
   * @param fleet the replicas
   * @param request the request
   * @param stream the stream so far, which may go on at some replicas only
   * @param history the attempts so far
   * @param nowNanos the current time
   */
  static ReplicaChoice of(
      Fleet fleet,
      RoutedRequest request,
      RelayedStream stream,
      AttemptHistory history,
      long nowNanos) {
    List<ReplicaView> candidates =
        Fleet.untried(stream.suitable(fleet.availableReplicas(request.service())), history.tried());
    Optional<ReplicaView> picked =
        request
            .metadata()
            .prompt()
            .map(
                prompt ->
                    fleet
                        .picker()
                        .pick(
                            candidates,
                            prompt,
                            fleet.costOf(request),
                            request.route().targetGapMillis(),
                            nowNanos))
            .orElseGet(() -> fleet.picker().pick(candidates, nowNanos));
    if (picked.isEmpty()) {
      return lack(candidates, nowNanos);
    }
    ReplicaView view = picked.get();
    fleet.picker().onPicked(view, nowNanos);
    long uncachedTokens =
        request
            .metadata()
            .prompt()
            .map(prompt -> fleet.picker().uncachedTokens(view, candidates, prompt, nowNanos))
            .orElse(0L);
    return new ReplicaChoice(picked, uncachedTokens, "", 0);
  }

  /** Returns why no candidate may receive the request, and when the first takes requests again. */
  private static ReplicaChoice lack(List<ReplicaView> candidates, long nowNanos) {
    long pauseMillis =
        candidates.stream()
            .mapToLong(view -> view.willingness().pauseMillis(nowNanos))
            .min()
            .orElse(0);
    if (candidates.isEmpty()) {
      return none("no replica accepts requests", 0);
    }
    if (pauseMillis > 0) {
      return none(
          "the replicas want no requests for some time",
          LocalResponse.spread(pauseMillis, Math.random()));
    }
    return none("the replicas take no more requests a second", LocalResponse.LIMIT_RETRY_MILLIS);
  }

  private static ReplicaChoice none(String reason, long retryMillis) {
    return new ReplicaChoice(Optional.empty(), 0, reason, retryMillis);
  }
}
