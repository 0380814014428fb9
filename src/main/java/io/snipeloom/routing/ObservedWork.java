package io.snipeloom.routing;

/**
 * What one instance observed of the work of a replica. Immutable.
 *
 * @param outputLeft the output of its requests that is to come, in tokens
 * @param heldTokens the memory that its requests hold or will hold, in tokens
 * @param pacePercent how long work took since its report before, in percent of what is usual at the
 *     service; 0 if it observed none
 * @param statedPercent how long work takes on the host of the replica by its own statement, in
 *     percent of what is usual there; 0 if there is no young one
 */
public record ObservedWork(long outputLeft, long heldTokens, int pacePercent, int statedPercent) {

  /** The work of a replica of which nothing was observed. */
  public static final ObservedWork NONE = new ObservedWork(0, 0, 0, 0);

  /** Checks the bounds. */
  public ObservedWork {
    if (outputLeft < 0 || heldTokens < 0 || pacePercent < 0 || statedPercent < 0) {
      throw new IllegalArgumentException("work must not be negative");
    }
  }

  /** Returns whether the instance observed how fast the replica works. */
  public boolean isObserved() {
    return pacePercent > 0 || statedPercent > 0;
  }

  /** Returns the work of the requests of two instances together, without what they observed. */
  ObservedWork plus(ObservedWork other, int sign) {
    return new ObservedWork(
        outputLeft + sign * other.outputLeft, heldTokens + sign * other.heldTokens, 0, 0);
  }
}
