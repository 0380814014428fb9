package io.snipeloom.admission;

import io.snipeloom.cost.PredictedService;
import java.util.Comparator;
import java.util.List;

/**
 * How the replicas of a service would serve one request. Immutable.
 *
 * <p>It is known while most replicas are, by reports that are not too old.
 */
public final class ServiceOutlook {
  /** The age from which a report says too little about the present, in milliseconds. */
  private static final long MAX_AGE_MILLIS = 1_500;

  /**
   * The part of the replicas that has to be on time for a kind of request to be on time. Instances
   * that see the same replicas do not all choose the best one.
   */
  private static final double NEEDED_SHARE = 0.25;

  /** The strain of a replica that would have to preempt a stream. */
  private static final double NO_ROOM_STRAIN = 1.5;

  private final List<PredictedService> known;
  private final int replicas;

  private ServiceOutlook(List<PredictedService> known, int replicas) {
    this.known = known;
    this.replicas = replicas;
  }

  /**
   * Creates an outlook.
   *
   * @param predictions one prediction for each replica that accepts requests
   */
  public static ServiceOutlook of(List<PredictedService> predictions) {
    List<PredictedService> known =
        predictions.stream()
            .filter(PredictedService::known)
            .filter(prediction -> prediction.ageMillis() <= MAX_AGE_MILLIS)
            .sorted(Comparator.comparingDouble(PredictedService::firstEventMillis))
            .toList();
    return new ServiceOutlook(known, predictions.size());
  }

  /** Returns whether enough is known of the replicas to decide by it. */
  public boolean isKnown() {
    return !known.isEmpty() && known.size() * 2 > replicas;
  }

  /** Returns the earliest first event, in milliseconds. */
  double firstMillis() {
    return known.get(0).firstEventMillis();
  }

  /** Returns the earliest end, in milliseconds. */
  double endMillis() {
    return known.stream().mapToDouble(PredictedService::endMillis).min().orElse(0);
  }

  /** Returns the age of the oldest report that it rests on, in milliseconds. */
  long ageMillis() {
    return known.stream().mapToLong(PredictedService::ageMillis).max().orElse(0);
  }

  /**
   * Returns the first event at the last of the replicas that are needed, in milliseconds.
   *
   * @return the time within which a quarter of the replicas would send the first event
   */
  double neededFirstMillis() {
    return known.get(needed()).firstEventMillis();
  }

  /**
   * Returns how far the replicas are from serving the request in time: below 1 if a quarter of them
   * would. A replica that would have to preempt a stream, or whose streams would pause for too
   * long, counts as one that is late.
   *
   * @param limitMillis the longest time to the first event that is in time, in milliseconds
   * @param targetGapMillis the longest allowed pause between events, in milliseconds; 0 for none
   * @param correction what the predicted times to the first event are multiplied by
   */
  double strain(double limitMillis, long targetGapMillis, double correction) {
    return known.stream()
        .mapToDouble(prediction -> strainOf(prediction, limitMillis, targetGapMillis, correction))
        .sorted()
        .skip(needed())
        .findFirst()
        .orElse(0);
  }

  private int needed() {
    return (int) ((known.size() - 1) * NEEDED_SHARE);
  }

  private static double strainOf(
      PredictedService prediction, double limitMillis, long targetGapMillis, double correction) {
    double late = prediction.firstEventMillis() * correction / limitMillis;
    double paused = targetGapMillis > 0 ? prediction.gapMillis() / targetGapMillis : 0;
    double room = prediction.fits() ? 0 : NO_ROOM_STRAIN;
    return Math.max(late, Math.max(paused, room));
  }
}
