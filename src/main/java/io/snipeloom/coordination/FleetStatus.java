package io.snipeloom.coordination;

import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.Zone;
import java.util.List;

/**
 * The state of the fleet as one instance sees it.
 *
 * @param instance the incarnation that reports the status
 * @param zone its availability zone
 * @param ready whether it takes requests
 * @param appliedOffset the log offset up to which it has applied the decision stream
 * @param configurationOffset the log offset of the configuration in force at the instance
 * @param logAgeMillis the time since the log last answered, in milliseconds
 * @param sidecars the sidecars known to the instance
 */
public record FleetStatus(
    Incarnation instance,
    Zone zone,
    boolean ready,
    long appliedOffset,
    long configurationOffset,
    long logAgeMillis,
    List<Sidecar> sidecars) {

  /** Makes an unmodifiable copy of the sidecars. */
  public FleetStatus {
    sidecars = List.copyOf(sidecars);
  }

  /**
   * A sidecar as this instance sees it.
   *
   * @param instance the slot
   * @param zone the availability zone of the slot
   * @param usable whether new work may be sent there
   * @param running the number of requests running at its back end
   * @param queued the number of requests in its queue
   * @param loadAgeMillis the age of its last load report, in milliseconds
   */
  public record Sidecar(
      InstanceId instance,
      Zone zone,
      boolean usable,
      int running,
      int queued,
      long loadAgeMillis) {}
}
