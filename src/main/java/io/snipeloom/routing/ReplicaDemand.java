package io.snipeloom.routing;

/**
 * The requests of one instance that a replica has not finished.
 *
 * @param replica the replica
 * @param inFlight the number of requests, at least 0
 * @param pendingTokens the prompt tokens that the replica must process before the first events, at
 *     least 0
 * @param work what the requests still cost and how fast the replica works, as far as it is known
 */
public record ReplicaDemand(
    ReplicaId replica, int inFlight, long pendingTokens, ObservedWork work) {

  /** Checks the bounds. */
  public ReplicaDemand {
    if (inFlight < 0 || pendingTokens < 0) {
      throw new IllegalArgumentException("demand must not be negative");
    }
  }

  /** Creates the demand of an instance that tells nothing of the work. */
  public ReplicaDemand(ReplicaId replica, int inFlight, long pendingTokens) {
    this(replica, inFlight, pendingTokens, ObservedWork.NONE);
  }
}
