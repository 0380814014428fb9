package io.snipeloom.routing;

import io.snipeloom.cost.RequestCost;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the replica for a request.
 *
 * <p>For a model request, the score of a replica estimates the prompt tokens that it must process
 * before the first event: those already pending at the replica, and those of this prompt that are
 * not cached there. Prompt parts are assigned to replicas by rendezvous hashing, so that all
 * instances place a part alike without communicating. While most other instances report what they
 * send, the score counts their requests too, and an assigned part counts as cached only where it
 * was sent; otherwise assigned parts count as cached. For other requests the score is the number of
 * requests per slot. The replica with the lowest score is chosen. Not thread-safe.
 */
public final class ReplicaPicker {
  /** The delay caused by a running request, expressed in prompt tokens. */
  private static final long RUNNING_REQUEST_TOKENS = 80;

  /** The assumed uncached prompt tokens of a request of another instance that is queued. */
  private static final long WAITING_REQUEST_TOKENS = 4_000;

  /** A hot part shorter than this is cheap enough for every replica to process, in tokens. */
  private static final long MIN_PLACED_PART_TOKENS = 4_096;

  /** The number of replicas that a longer hot part is assigned to. */
  private static final int HOT_PART_REPLICAS = 2;

  /** The penalty for a replica in another zone, in tokens; it saves traffic between zones. */
  private static final long CROSS_ZONE_TOKENS = 200;

  /**
   * The part of the tokens of an uncached part by which the replica it is assigned to is preferred.
   */
  private static final double PLACEMENT_PREFERENCE = 0.25;

  /**
   * The weight of a token that another replica has cached, beside its own processing: it also
   * delays the requests that come later.
   */
  private static final double RECOMPUTED_TOKEN_WEIGHT = 1;

  /**
   * The range of the random addition to a score, in tokens. Without it, instances that have the
   * same reports would all choose the same replica until the next ones.
   */
  private static final double SPREAD_TOKENS = 2_000;

  /**
   * The penalty for a replica that fails every request, in tokens. Requests without a prompt use
   * ERROR_PENALTY_FACTOR instead, multiplied by the square of the error share.
   */
  private static final long ERROR_PENALTY_TOKENS = 60_000;

  private static final double ERROR_PENALTY_FACTOR = 8;
  private static final double CROSS_ZONE_REQUESTS = 0.25;

  private final String zone;
  private final LimitShares limitShares;
  private final PeerDemand peers;
  private final Random random;
  private final FleetCosts costs;
  private final PartPopularity popularity = new PartPopularity();

  /**
   * Creates a picker.
   *
   * @param zone the availability zone of this instance
   * @param limitShares the shares of this instance in the limits of replicas
   * @param peers the requests of the other instances
   * @param random spreads the choices of instances that know the same
   */
  public ReplicaPicker(String zone, LimitShares limitShares, PeerDemand peers, Random random) {
    this.zone = zone;
    this.limitShares = limitShares;
    this.peers = peers;
    this.random = random;
    this.costs = new FleetCosts(peers);
  }

  /** Returns what was learned of the cost of requests and of the pace of replicas. */
  public FleetCosts costs() {
    return costs;
  }

  /** Returns the requests of the other instances, as far as they reported them. */
  public PeerDemand peers() {
    return peers;
  }

  /**
   * Counts a request that is about to be sent to a replica.
   *
   * @param view the replica
   * @param nowNanos the current time
   */
  public void onPicked(ReplicaView view, long nowNanos) {
    view.limit().onPicked(limitShares, nowNanos);
  }

  /**
   * Counts a request that is sent now, if its replica may still receive it.
   *
   * @param view the replica
   * @param nowNanos the current time
   * @return false if the request may not be sent
   */
  public boolean trySend(ReplicaView view, long nowNanos) {
    return view.limit().trySend(limitShares, nowNanos);
  }

  /**
   * Counts the parts of a prompt, to detect hot parts.
   *
   * @param prompt the prompt
   * @param nowNanos the current time
   */
  public void recordPrompt(Prompt prompt, long nowNanos) {
    popularity.recordParts(prompt.parts(), nowNanos);
  }

  /**
   * Chooses a replica for a model request.
   *
   * @param candidates the replicas that accept requests
   * @param prompt the prompt
   * @param nowNanos the current time
   * @return the replica, empty if there is no candidate that may receive another request
   */
  public Optional<ReplicaView> pick(
      Collection<ReplicaView> candidates, Prompt prompt, long nowNanos) {
    RequestCost unknown = new RequestCost(prompt.inputTokens(), 0, 0);
    return pick(candidates, prompt, unknown, 0, nowNanos);
  }

  /**
   * Chooses a replica for a model request whose cost is estimated.
   *
   * @param candidates the replicas that accept requests
   * @param prompt the prompt
   * @param cost what the request is likely to cost
   * @param targetGapMillis the pause between two events that callers expect at most, in
   *     milliseconds; 0 if they expect none
   * @param nowNanos the current time
   * @return the replica, empty if there is no candidate that may receive another request
   */
  public Optional<ReplicaView> pick(
      Collection<ReplicaView> candidates,
      Prompt prompt,
      RequestCost cost,
      long targetGapMillis,
      long nowNanos) {
    ReplicaView best = null;
    double bestScore = Double.MAX_VALUE;
    PartPlacement placement = placementOf(prompt, candidates, nowNanos);
    List<ReplicaView> eligible = eligible(candidates, nowNanos);
    WorkTerms terms = new WorkTerms(costs, eligible, cost, targetGapMillis, nowNanos);
    for (int i = 0; i < eligible.size(); i++) {
      ReplicaView candidate = eligible.get(i);
      double score = score(candidate, i, prompt, placement, terms, nowNanos);
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Chooses a replica for a request without a prompt. Only the paces that replicas state count:
   * these requests are so short that observed ones differ by chance.
   *
   * @param candidates the replicas that accept requests
   * @param nowNanos the current time
   * @return the replica, empty if there is no candidate that may receive another request
   */
  public Optional<ReplicaView> pick(Collection<ReplicaView> candidates, long nowNanos) {
    ReplicaView best = null;
    double bestScore = Double.MAX_VALUE;
    List<ReplicaView> eligible = eligible(candidates, nowNanos);
    PaceComparison paces = new PaceComparison(eligible, nowNanos);
    for (int i = 0; i < eligible.size(); i++) {
      ReplicaView candidate = eligible.get(i);
      double pace = candidate.costs().pace().isStated() ? paces.factor(i) : 1;
      double score = requestScore(candidate, nowNanos) * pace;
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the prompt tokens that a replica would have to process, because they are not expected
   * in its cache.
   *
   * @param candidate the replica
   * @param candidates all replicas that accept requests
   * @param prompt the prompt
   * @param nowNanos the current time
   */
  public long uncachedTokens(
      ReplicaView candidate, Collection<ReplicaView> candidates, Prompt prompt, long nowNanos) {
    return uncachedTokens(candidate, prompt, placementOf(prompt, candidates, nowNanos));
  }

  private long uncachedTokens(ReplicaView candidate, Prompt prompt, PartPlacement placement) {
    boolean assignedCountsAsCached = !peers.isKnown();
    long uncached = prompt.inputTokens();
    for (int i = 0; i < prompt.parts().size(); i++) {
      PromptPart part = prompt.parts().get(i);
      if (!candidate.prefixCache().contains(part)
          && !(assignedCountsAsCached && placement.isAssigned(candidate, i))) {
        return Math.max(0, uncached);
      }
      uncached -= part.tokens();
    }
    return Math.max(0, uncached);
  }

  /**
   * Returns the fewest prompt tokens that any of the replicas would have to process.
   *
   * @param candidates all replicas that accept requests
   * @param prompt the prompt
   * @param nowNanos the current time
   */
  public long leastUncachedTokens(
      Collection<ReplicaView> candidates, Prompt prompt, long nowNanos) {
    PartPlacement placement = placementOf(prompt, candidates, nowNanos);
    return candidates.stream()
        .mapToLong(candidate -> uncachedTokens(candidate, prompt, placement))
        .min()
        .orElse(prompt.inputTokens());
  }

  private PartPlacement placementOf(
      Prompt prompt, Collection<ReplicaView> candidates, long nowNanos) {
    return new PartPlacement(candidates, prompt, part -> copiesOf(part, nowNanos));
  }

  private int copiesOf(PromptPart part, long nowNanos) {
    if (!popularity.isHot(part, nowNanos)) {
      return 1;
    }
    return part.tokens() < MIN_PLACED_PART_TOKENS ? PartPlacement.EVERY_REPLICA : HOT_PART_REPLICAS;
  }

  private double score(
      ReplicaView candidate,
      int index,
      Prompt prompt,
      PartPlacement placement,
      WorkTerms terms,
      long nowNanos) {
    ReplicaLoad load = candidate.load();
    long uncached = uncachedTokens(candidate, prompt, placement);
    double running = costs.running(candidate, nowNanos);
    double work =
        load.pendingPrefillTokens()
            + (peers.isKnown() ? peers.pendingTokens(candidate.replica().id()) : 0)
            + (double) load.waiting(nowNanos) * WAITING_REQUEST_TOKENS
            + running
                * Math.max(RUNNING_REQUEST_TOKENS, terms.runningRequestTokens(candidate, running))
            + uncached;
    return work * terms.pace(index)
        + terms.displacedTokens(candidate, index, uncached, running)
        + peerAdjustment(candidate, prompt, placement, terms.recomputedWeight())
        + candidate.health().errorShare() * ERROR_PENALTY_TOKENS
        + (candidate.replica().zone().equals(zone) ? 0 : CROSS_ZONE_TOKENS);
  }

  /** Returns the tokens that a replica would process although another one has them cached. */
  private static long recomputedTokens(
      ReplicaView candidate, Prompt prompt, PartPlacement placement) {
    long tokens = 0;
    boolean cached = true;
    for (int i = 0; i < prompt.sharedParts().size(); i++) {
      PromptPart part = prompt.parts().get(i);
      cached &= candidate.prefixCache().contains(part);
      if (!cached && placement.isCachedAnywhere(i)) {
        tokens += part.tokens();
      }
    }
    return tokens;
  }

  /** Returns what the reports of other instances add to the score of a replica. */
  private double peerAdjustment(
      ReplicaView candidate, Prompt prompt, PartPlacement placement, double recomputedWeight) {
    if (!peers.isKnown()) {
      return 0;
    }
    return recomputedWeight
            * RECOMPUTED_TOKEN_WEIGHT
            * recomputedTokens(candidate, prompt, placement)
        - placementPreference(candidate, prompt, placement)
        + random.nextDouble() * SPREAD_TOKENS;
  }

  /**
   * Returns by how much a replica is preferred for the parts that are assigned to it and not cached
   * there. Instances that meet such a part in the same moment then send it to one replica.
   */
  private double placementPreference(
      ReplicaView candidate, Prompt prompt, PartPlacement placement) {
    long assignedTokens = 0;
    for (int i = 0; i < prompt.sharedParts().size(); i++) {
      PromptPart part = prompt.parts().get(i);
      if (!candidate.prefixCache().contains(part) && placement.isAssigned(candidate, i)) {
        assignedTokens += part.tokens();
      }
    }
    return assignedTokens * PLACEMENT_PREFERENCE;
  }

  private double requestScore(ReplicaView candidate, long nowNanos) {
    ReplicaLoad load = candidate.load();
    double requests =
        load.inFlight()
            + Math.max(load.othersRunning(nowNanos), peers.inFlight(candidate.replica().id()))
            + load.waiting(nowNanos)
            + (candidate.replica().zone().equals(zone) ? 0 : CROSS_ZONE_REQUESTS);
    double errors = candidate.health().errorShare();
    return (requests + 1)
        * (1 + ERROR_PENALTY_FACTOR * errors * errors)
        / candidate.replica().slots();
  }

  /** Returns the candidates that may receive a request, without those that back off if possible. */
  private List<ReplicaView> eligible(Collection<ReplicaView> candidates, long nowNanos) {
    List<ReplicaView> withinLimits =
        candidates.stream()
            .filter(view -> view.willingness().takesRequests(nowNanos))
            .filter(view -> view.limit().mayReceive(limitShares, nowNanos))
            .toList();
    List<ReplicaView> notBackingOff =
        withinLimits.stream().filter(view -> !view.health().isBackingOff(nowNanos)).toList();
    return notBackingOff.isEmpty() ? withinLimits : notBackingOff;
  }
}
