package io.snipeloom.routing;

import java.net.InetSocketAddress;

/**
 * The registry entry of a replica.
 *
 * @param id the replica
 * @param startedAtMillis the start time, in Unix milliseconds; distinguishes incarnations with the
 *     same ID
 * @param service the service that the replica belongs to
 * @param address the address that the replica listens on
 * @param version the version of its software
 * @param zone the availability zone of the replica
 * @param slots the number of requests that the replica executes concurrently
 * @param state whether the replica accepts requests
 */
public record Replica(
    ReplicaId id,
    long startedAtMillis,
    String service,
    InetSocketAddress address,
    SoftwareVersion version,
    String zone,
    int slots,
    ReplicaState state) {

  /** Checks the number of slots. */
  public Replica {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1 but was " + slots);
    }
  }

  /**
   * Returns whether both entries describe the same incarnation of the same replica.
   *
   * @param other the other entry
   */
  public boolean isSameIncarnation(Replica other) {
    return id.equals(other.id)
        && startedAtMillis == other.startedAtMillis
        && version.equals(other.version)
        && address.equals(other.address);
  }
}
