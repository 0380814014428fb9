package io.snipeloom.routing;

import java.util.OptionalLong;

/**
 * An entry that disappeared from the registry, and what that says of its replica.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the replica
 * @param removal what became of the replica
 * @param heartbeatAgeMillis how old the last heartbeat of the replica is at most, in milliseconds;
 *     empty if none was read
 */
public record RemovedEntry(ReplicaId id, Removal removal, OptionalLong heartbeatAgeMillis) {

  /** What became of a replica whose entry disappeared. */
  public enum Removal {
    /** No such replica is in use. */
    UNKNOWN,
    /** The entry cannot have lapsed, so that the replica has left and is out of use. */
    LEFT,
    /** The entry may have lapsed while the registry was unavailable; the replica stays in use. */
    MAY_HAVE_LAPSED;

    /** Returns whether the replica went out of use. */
    public boolean isOutOfUse() {
      return this == LEFT;
    }
  }

  /** Returns whether the replica went out of use. */
  public boolean isOutOfUse() {
    return removal.isOutOfUse();
  }
}
