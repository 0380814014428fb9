package io.snipeloom.routing;

import java.util.List;

/**
 * How long work takes at each of several replicas, compared with their mean. Differences that are
 * within what observations scatter count as none, so that replicas that do not differ are chosen as
 * if no pace was known. Replicas are named by their index. Immutable.
 */
final class PaceComparison {
  /** The difference from the mean that counts as none, as a logarithm: 12 %. */
  private static final double IGNORED = Math.log(1.12);

  private final double[] logs;
  private final double mean;
  private final double meanDifference;

  PaceComparison(List<ReplicaView> candidates, long nowNanos) {
    this.logs = new double[candidates.size()];
    double sum = 0;
    for (int i = 0; i < logs.length; i++) {
      logs[i] = candidates.get(i).costs().pace().log(nowNanos);
      sum += logs[i];
    }
    this.mean = logs.length == 0 ? 0 : sum / logs.length;
    double differences = 0;
    for (int i = 0; i < logs.length; i++) {
      differences += Math.abs(difference(i));
    }
    this.meanDifference = logs.length == 0 ? 0 : differences / logs.length;
  }

  /** Returns the mean factor by which the replicas differ from their mean; 1 if they do not. */
  double meanFactor() {
    return Math.exp(meanDifference);
  }

  /** Returns how long work takes at a replica by the mean; 1 if it does not differ. */
  double factor(int index) {
    double difference = difference(index);
    return difference == 0 ? 1 : Math.exp(difference);
  }

  /** Returns how long work takes at a replica by what is usual at the service. */
  double pace(int index) {
    return logs[index] == 0 ? 1 : Math.exp(logs[index]);
  }

  private double difference(int index) {
    double difference = logs[index] - mean;
    double counted = Math.max(0, Math.abs(difference) - IGNORED);
    return Math.copySign(counted, difference);
  }
}
