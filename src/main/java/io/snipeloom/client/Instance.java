package io.snipeloom.client;

import io.snipeloom.state.InstanceId;
import io.snipeloom.state.UpstreamId;
import io.snipeloom.state.Zone;

/**
 * An entry in the instance list of the platform.
 *
 * @param id the instance id
 * @param role the type of process that runs on the instance
 * @param zone the availability zone
 * @param upstream the upstream whose back end the sidecar serves; null for a router
 * @param address the IP address for connections from other instances
 * @param port the TCP port for connections from other instances
 * @param leaving whether the platform is going to stop the instance soon
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
