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
 * @param cold how long the replica stays cold, as it says
 * @param sequence a number that rises with the entries of an incarnation
 */
public record Replica(
    ReplicaId id,
    long startedAtMillis,
    String service,
    InetSocketAddress address,
    SoftwareVersion version,
    String zone,
    int slots,
    ReplicaState state,
    ColdReport cold,
    long sequence) {

  /** Checks the number of slots. */
  public Replica {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1 but was " + slots);
    }
  }

  /** Creates an entry that says nothing of cold starts. */
  public Replica(
      ReplicaId id,
      long startedAtMillis,
      String service,
      InetSocketAddress address,
      SoftwareVersion version,
      String zone,
      int slots,
      ReplicaState state) {
    this(id, startedAtMillis, service, address, version, zone, slots, state, ColdReport.NONE, 0);
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
