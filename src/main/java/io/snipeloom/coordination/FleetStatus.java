package io.snipeloom.coordination;

import io.snipeloom.state.Incarnation;
import io.snipeloom.state.InstanceId;
import io.snipeloom.state.Zone;
import java.util.List;

/**
 * What one instance sees of the fleet.
 *
 * @param instance the incarnation that answers
 * @param zone its availability zone
 * @param ready whether it takes requests
 * @param appliedOffset the log offset up to which it has applied the decision stream
 * @param configurationOffset the log offset of the configuration in force there
 * @param logAgeMillis the time since the log last answered, in milliseconds
 * @param sidecars the sidecars that it knows
 */
public record FleetStatus(
    Incarnation instance,
    Zone zone,
    boolean ready,
    long appliedOffset,
    long configurationOffset,
    long logAgeMillis,
    List<Sidecar> sidecars) {

  /** Copies the sidecars. */
  public FleetStatus {
    sidecars = List.copyOf(sidecars);
  }

  /**
   * A sidecar as this instance sees it.
   *
   * @param instance the slot
   * @param zone the availability zone of the slot
   * @param usable whether new work may be sent there
   * @param running the requests at its back end
   * @param queued the requests that wait there
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
