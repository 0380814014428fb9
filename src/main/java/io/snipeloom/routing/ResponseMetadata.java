package io.snipeloom.routing;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The metadata in the headers of a response from a replica.
 *
 * @param attemptIds the attempts that the response names: one, unless the replica did not state it
 *     or the head is not that of one response
 * @param signed whether the response carries a signature that proves it comes from a replica
 * @param notExecuted whether the replica states that it did not execute the request
 * @param load the load of the replica, if stated
 * @param limit the requests a second that the replica takes, if stated
 * @param leaving whether the replica states that it is leaving
 * @param pause how long the replica wants no further request, if it rejected this one
 * @param cold how long the replica stays cold, if stated
 */
public record ResponseMetadata(
    Set<String> attemptIds,
    boolean signed,
    boolean notExecuted,
    Optional<Load> load,
    StatedLimit limit,
    boolean leaving,
    StatedPause pause,
    ColdReport cold) {

  /** Creates the metadata with a copy of the attempts. */
  public ResponseMetadata {
    attemptIds = Set.copyOf(attemptIds);
  }

  /** Returns whether the response does not say which attempt it belongs to. */
  public boolean isUnnamed() {
    return attemptIds.isEmpty();
  }

  /** Returns whether the response names more than one attempt. */
  public boolean isAmbiguous() {
    return attemptIds.size() > 1;
  }

  /** Returns whether the response names an attempt and no other. */
  public boolean isOf(String attemptId) {
    return attemptIds.equals(Set.of(attemptId));
  }

  /**
   * The load of a replica.
   *
   * @param running the number of requests being executed
   * @param waiting the number of requests queued at the replica
   * @param pacePercent how long work takes on its host now, in percent of what is usual there, if
   *     stated
   */
  public record Load(int running, int waiting, OptionalInt pacePercent) {}
}
