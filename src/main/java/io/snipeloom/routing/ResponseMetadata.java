package io.snipeloom.routing;

import java.util.Optional;

/**
 * What a replica states with its answer.
 *
 * @param attemptId the attempt that the answer belongs to; empty if the replica named none
 * @param signed whether the answer carries the proof that a replica made it
 * @param notExecuted whether the replica says that it did not run the request
 * @param load the load of the replica
 */
public record ResponseMetadata(
    String attemptId, boolean signed, boolean notExecuted, Optional<Load> load) {

  /**
   * The load of a replica.
   *
   * @param running the requests that it runs
   * @param waiting the requests that wait in it
   */
  public record Load(int running, int waiting) {}
}
