package io.snipeloom.cost;

/**
 * How a replica would serve a request that is sent to it now. Immutable.
 *
 * @param known whether enough was observed to predict anything
 * @param firstEventMillis the time until the first event or the response, in milliseconds
 * @param endMillis the time until the end of the response, in milliseconds
 * @param gapMillis the pause between two events while the request runs, in milliseconds
 * @param fits whether the replica has a slot and memory for the request without preemption
 * @param ageMillis the age of the oldest report that the prediction rests on, in milliseconds
 */
public record PredictedService(
    boolean known,
    double firstEventMillis,
    double endMillis,
    double gapMillis,
    boolean fits,
    long ageMillis) {

  /** The prediction while nothing is known of a replica: it may serve the request at once. */
  public static final PredictedService UNKNOWN = new PredictedService(false, 0, 0, 0, true, 0);

  /** Checks the ranges. */
  public PredictedService {
    if (firstEventMillis < 0 || endMillis < firstEventMillis || gapMillis < 0 || ageMillis < 0) {
      throw new IllegalArgumentException(
          "invalid prediction: %s, %s, %s, %d"
              .formatted(firstEventMillis, endMillis, gapMillis, ageMillis));
    }
  }
}
