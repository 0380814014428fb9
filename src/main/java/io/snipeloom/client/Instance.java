package io.snipeloom.client;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Zone;

/**
 * An entry of the instance list.
 *
 * @param id the instance slot
 * @param role what runs there
 * @param zone the availability zone
 * @param upstream the upstream that a sidecar stands beside; null for a router
 * @param address the IP address for traffic between instances
 * @param port the TCP port for traffic between instances
 * @param leaving whether the platform is about to stop the instance
 */
public record Instance(
    InstanceId id,
    Role role,
    Zone zone,
    UpstreamId upstream,
    String address,
    int port,
    boolean leaving) {

  /** The roles of instances. */
  public enum Role {
    ROUTER,
    SIDECAR
  }
}
