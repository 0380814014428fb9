package io.snipeloom.routing;

import io.snipeloom.cost.RequestCost;
import io.snipeloom.cost.ServicePace;
import java.util.List;

/**
 * What the learned costs add to the score of a replica for one model request, in prompt tokens that
 * take as long to process. Each term is neutral while nothing was learned. Immutable.
 */
final class WorkTerms {
  /**
   * The weight of a delay during the output of a stream, by that of a delay of its first event:
   * callers notice it only once events come later than they expect.
   */
  private static final double OUTPUT_DELAY_WEIGHT = 0.1;

  private static final double MAX_RECOMPUTED_WEIGHT = 1.5;

  /** The cost of each millisecond by which running streams exceed the expected pause, in tokens. */
  private static final double LATE_GAP_TOKENS_PER_MILLI = 100;

  private final FleetCosts costs;
  private final PaceComparison paces;
  private final RequestCost cost;
  private final long targetGapMillis;
  private final double promptTokensPerOutputToken;
  private final ServicePace service;

  WorkTerms(
      FleetCosts costs,
      List<ReplicaView> candidates,
      RequestCost cost,
      long targetGapMillis,
      long nowNanos) {
    this.costs = costs;
    this.paces = new PaceComparison(candidates, nowNanos);
    this.cost = cost;
    this.targetGapMillis = targetGapMillis;
    this.service =
        candidates.isEmpty()
            ? new ServicePace()
            : costs.service(candidates.get(0).replica().service());
    this.promptTokensPerOutputToken = service.promptTokensPerOutputToken();
  }

  /** Returns how long work takes at a replica, compared with the others. */
  double pace(int index) {
    return paces.factor(index);
  }

  /**
   * Returns the weight of tokens that a replica processes although another one has them cached: the
   * more replicas differ, the more their paces draw prompts away from cached parts.
   */
  double recomputedWeight() {
    return Math.min(MAX_RECOMPUTED_WEIGHT, paces.meanFactor() * paces.meanFactor());
  }

  /**
   * Returns what one request that runs at a replica delays this one: they slow each other down for
   * as long as both generate.
   */
  double runningRequestTokens(ReplicaView candidate, double running) {
    if (promptTokensPerOutputToken == 0) {
      return 0;
    }
    double meanLeft = costs.outputLeft(candidate) / Math.max(1, running);
    double together = Math.min(cost.outputTokens(), meanLeft);
    return together * promptTokensPerOutputToken * OUTPUT_DELAY_WEIGHT;
  }

  /**
   * Returns what this request costs those that run at a replica: the tokens of preempted requests,
   * which are processed again, and the pauses of streams that exceed the expected ones.
   */
  double displacedTokens(ReplicaView candidate, int index, long uncachedTokens, double running) {
    double missing = costs.missingTokens(candidate, uncachedTokens + cost.outputTokens());
    return Math.max(0, missing) + lateGapTokens(candidate, index, running);
  }

  private double lateGapTokens(ReplicaView candidate, int index, double running) {
    if (targetGapMillis == 0 || !service.isKnown()) {
      return 0;
    }
    double gapMillis =
        service.outputTokenMillis(running + 1)
            * candidate.costs().tokensPerEvent()
            * paces.pace(index);
    return Math.max(0, gapMillis - targetGapMillis) * LATE_GAP_TOKENS_PER_MILLI;
  }
}
