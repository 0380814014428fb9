package io.snipeloom.routing;

import java.util.Collection;

/**
 * How long work takes at each of several replicas, compared with their mean. Differences that are
 * within what observations scatter count as none, so that replicas that do not differ are chosen as
 * if no pace was known. Immutable.
 */
final class PaceComparison {
  /** The difference from the mean that counts as none, as a logarithm: 12 %. */
  private static final double IGNORED = Math.log(1.12);

  private final double mean;
  private final double meanDifference;
  private final long nowNanos;

  PaceComparison(Collection<ReplicaView> candidates, long nowNanos) {
    double sum = 0;
    for (ReplicaView candidate : candidates) {
      sum += candidate.costs().pace().log(nowNanos);
    }
    this.mean = candidates.isEmpty() ? 0 : sum / candidates.size();
    this.nowNanos = nowNanos;
    this.meanDifference =
        candidates.stream().mapToDouble(one -> Math.abs(difference(one))).average().orElse(0);
  }

  /** Returns the mean factor by which the replicas differ from their mean; 1 if they do not. */
  double meanFactor() {
    return Math.exp(meanDifference);
  }

  /** Returns how long work takes at a replica by the mean; 1 if it does not differ. */
  double factor(ReplicaView candidate) {
    double difference = difference(candidate);
    return difference == 0 ? 1 : Math.exp(difference);
  }

  private double difference(ReplicaView candidate) {
    double difference = candidate.costs().pace().log(nowNanos) - mean;
    double counted = Math.max(0, Math.abs(difference) - IGNORED);
    return Math.copySign(counted, difference);
  }
}
