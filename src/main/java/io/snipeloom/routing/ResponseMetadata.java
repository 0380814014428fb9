package io.snipeloom.routing;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The metadata in the headers of a response from a replica.
 *
 * @param attemptId the attempt that the response belongs to; empty if the replica did not state it
 * @param signed whether the response carries a signature that proves it comes from a replica
 * @param notExecuted whether the replica states that it did not execute the request
 * @param load the load of the replica, if stated
 * @param limit the requests a second that the replica takes, if stated
 * @param leaving whether the replica states that it is leaving
 * @param pause how long the replica wants no further request, if it rejected this one
 */
public record ResponseMetadata(
    String attemptId,
    boolean signed,
    boolean notExecuted,
    Optional<Load> load,
    StatedLimit limit,
    boolean leaving,
    StatedPause pause) {

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
