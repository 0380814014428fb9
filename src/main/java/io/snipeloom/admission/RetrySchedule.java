package io.snipeloom.admission;

/**
 * When the callers of refused requests may come back: while the replicas work off what makes them
 * late, more urgent callers first, not all at the same time, and early enough to be served.
 */
final class RetrySchedule {
  /** About the time that one request takes from the room of others, in milliseconds. */
  private static final double SHORTEST_MILLIS = 150;

  /** Callers honour a time up to this part of what they have left. */
  private static final double HONOURED_SHARE = 1.0 / 3;

  /** The part of the target that a caller may spend away; later it could not be in time. */
  private static final double TARGET_SHARE = 0.5;

  /** Each step of priority moves the return by this part of the time over which it is spread. */
  private static final double PRIORITY_SHARE = 0.25;

  private RetrySchedule() {}

  /**
   * Returns when a caller may come back, in milliseconds.
   *
   * @param drainMillis how long the replicas need until they are in time
   * @param request the refused request
   * @param draw a random number from 0 to 1
   */
  static long retryMillis(double drainMillis, AdmissionRequest request, double draw) {
    double width =
        Math.max(SHORTEST_MILLIS, Math.min(drainMillis, request.targetMillis() * TARGET_SHARE));
    double start = SHORTEST_MILLIS + width * PRIORITY_SHARE * request.priority();
    double latest = request.remainingMillis() * HONOURED_SHARE;
    double end = Math.min(latest, start + width);
    double from = Math.min(start, end / 2);
    return Math.max(1, Math.round(from + (end - from) * draw));
  }
}
