package io.snipeloom.forwarding;

import io.snipeloom.routing.FleetConfiguration;
import io.snipeloom.routing.Homes;
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
  /** The reason if all replicas are in regions that the request does not allow. */
  static final String NO_HOME = "no replica in the regions of the request accepts requests";

  /** The reason if all replicas are in zones that operators evacuate. */
  static final String EVACUATED = "no replica accepts requests outside the evacuated zones";

  /** The reason if all replicas are cold and get as many requests as they tolerate. */
  static final String COLD = "the replicas are cold and take no more requests a second";

  /** The reason if no other instance could tell the versions of the replicas from others. */
  static final String UNDECLARED = "the versions of the replicas are not declared yet";

  /** The shortest time to come back when replicas are cold. */
  private static final long MIN_COLD_RETRY_MILLIS = 200;

  /**
   * Chooses a replica and counts the request as sent to it.
   *
   * @param fleet the replicas
   * @param request the request
   * @param bodyBytes the length of its body, in bytes
   * @param stream the stream so far, which may go on at some replicas only
   * @param history the attempts so far
   * @param nowNanos the current time
   */
  static ReplicaChoice of(
      Fleet fleet,
      RoutedRequest request,
      int bodyBytes,
      RelayedStream stream,
      AttemptHistory history,
      long nowNanos) {
    List<ReplicaView> available = fleet.availableReplicas(request.service());
    List<ReplicaView> atHome = atHome(available, fleet, request);
    if (atHome.isEmpty()) {
      return nowhere(fleet, !available.isEmpty());
    }
    List<ReplicaView> suitable = suitable(atHome, fleet, request, stream, nowNanos);
    if (suitable.isEmpty() && !stream.hasOrigin()) {
      return none(UNDECLARED, LocalResponse.STARTUP_RETRY_MILLIS);
    }
    List<ReplicaView> candidates = Fleet.untried(suitable, history.tried());
    List<ReplicaView> withRoom = fleet.buffers().bodies().withRoom(candidates, bodyBytes);
    if (withRoom.isEmpty() && !candidates.isEmpty()) {
      return none(
          "the replicas read requests too slowly",
          LocalResponse.spread(LocalResponse.BODY_RETRY_MILLIS, Math.random()));
    }
    Optional<ReplicaView> picked =
        request
            .metadata()
            .prompt()
            .map(
                prompt ->
                    fleet
                        .picker()
                        .pick(
                            withRoom,
                            prompt,
                            fleet.costOf(request),
                            request.route().targetGapMillis(),
                            nowNanos))
            .orElseGet(() -> fleet.picker().pick(withRoom, nowNanos));
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

  /** Returns the replicas at which the stream, if it is one, may begin or go on. */
  private static List<ReplicaView> suitable(
      List<ReplicaView> replicas,
      Fleet fleet,
      RoutedRequest request,
      RelayedStream stream,
      long nowNanos) {
    if (stream.hasOrigin() || !request.route().isResumableStream()) {
      return stream.suitable(replicas);
    }
    return replicas.stream()
        .filter(view -> fleet.streams().mayBegin(view.replica(), nowNanos))
        .toList();
  }

  /** Returns whether a replica is where the request may be processed, as far as is known now. */
  static boolean isAtHome(ReplicaView view, Fleet fleet, RoutedRequest request) {
    FleetConfiguration current = fleet.configuration().orElse(request.configuration());
    return fleet.placement().isAtHome(view.replica(), request.homes(current));
  }

  private static List<ReplicaView> atHome(
      List<ReplicaView> available, Fleet fleet, RoutedRequest request) {
    FleetConfiguration current = fleet.configuration().orElse(request.configuration());
    Homes homes = request.homes(current);
    return homes.isEverywhere()
        ? available
        : available.stream()
            .filter(view -> fleet.placement().isAtHome(view.replica(), homes))
            .toList();
  }

  /** Returns why no zone has a replica for the request. */
  private static ReplicaChoice nowhere(Fleet fleet, boolean elsewhere) {
    if (elsewhere) {
      return none(NO_HOME, LocalResponse.OUTAGE_RETRY_MILLIS);
    }
    return fleet.placement().evacuations().isEmpty()
        ? none("no replica accepts requests", 0)
        : none(EVACUATED, LocalResponse.OUTAGE_RETRY_MILLIS);
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
    return candidates.stream().allMatch(view -> view.limit().isWarmingUp(nowNanos))
        ? none(COLD, coldRetryMillis(candidates, nowNanos))
        : none("the replicas take no more requests a second", LocalResponse.LIMIT_RETRY_MILLIS);
  }

  /** Returns when to come back: once a replica is warm, or once the next second's share is free. */
  private static long coldRetryMillis(List<ReplicaView> candidates, long nowNanos) {
    long coldMillis =
        candidates.stream().mapToLong(view -> view.limit().coldMillis(nowNanos)).min().orElse(0);
    long waitMillis = Math.max(MIN_COLD_RETRY_MILLIS, coldMillis);
    return LocalResponse.spread(
        Math.min(LocalResponse.LIMIT_RETRY_MILLIS, waitMillis), Math.random());
  }

  /** Returns the counter of refusals for this reason, empty if there is none. */
  Optional<String> counter() {
    return switch (reason) {
      case NO_HOME -> Optional.of("refused_for_homes");
      case COLD -> Optional.of("refused_for_cold");
      case UNDECLARED -> Optional.of("refused_for_undeclared_version");
      case EVACUATED -> Optional.of("refused_for_evacuation");
      default -> Optional.empty();
    };
  }

  private static ReplicaChoice none(String reason, long retryMillis) {
    return new ReplicaChoice(Optional.empty(), 0, reason, retryMillis);
  }
}
