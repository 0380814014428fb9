package io.snipeloom.routing;

import java.net.InetSocketAddress;

/**
 * A replica as it registered itself.
 *
 * @param id the replica
 * @param startedAtMillis the start of this incarnation, in Unix milliseconds; tells incarnations
 *     with the same id apart
 * @param service the service that it belongs to
 * @param address where it listens
 * @param zone its availability zone
 * @param slots the requests that it runs at once
 * @param state whether it takes work
 */
public record Replica(
    ReplicaId id,
    long startedAtMillis,
    String service,
    InetSocketAddress address,
    String zone,
    int slots,
    ReplicaState state) {

  /** Checks the slots. */
  public Replica {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1 but was " + slots);
    }
  }

  /**
   * Returns whether both stand for the same start of the same replica.
   *
   * @param other the other entry
   * @return true if they do
   */
  public boolean isSameIncarnation(Replica other) {
    return id.equals(other.id)
        && startedAtMillis == other.startedAtMillis
        && address.equals(other.address);
  }
}
