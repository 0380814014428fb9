package io.snipeloom.routing;

import io.snipeloom.state.RendezvousHash;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Divides the limit of a replica among the instances of the fleet, without communication.
 *
 * <p>A few instances, chosen by rendezvous hashing, get equal shares; so few that all of them may
 * send one request in the same moment. The others take turns in asking whether the limit still
 * holds. Not thread-safe.
 */
public final class LimitShares {
  /** The number of instances that share a limit, apart from one for each request a second. */
  private static final int BASE_SHARERS = 2;

  /** The length of a turn; longer than the window in which the requests of a replica count. */
  private static final long TURN_MILLIS = 5_000;

  private final String instance;
  private final LongSupplier timeOfDayMillis;
  private final long instanceHash;
  private long[] memberHashes;
  private int ownRank;

  /**
   * Creates shares of an instance that does not know any other yet.
   *
   * @param instance the name of the instance
   * @param timeOfDayMillis the time of day, in Unix milliseconds
   */
  public LimitShares(String instance, LongSupplier timeOfDayMillis) {
    this.instance = instance;
    this.timeOfDayMillis = timeOfDayMillis;
    this.instanceHash = RendezvousHash.hash(instance);
    changeMembers(List.of());
  }

  /**
   * Replaces the instances of the fleet.
   *
   * @param others the names of the other live instances
   */
  public void changeMembers(Collection<String> others) {
    TreeSet<String> members = new TreeSet<>(others);
    members.add(instance);
    memberHashes = members.stream().mapToLong(RendezvousHash::hash).toArray();
    ownRank = members.headSet(instance).size();
  }

  /**
   * Returns the number of instances that share a limit.
   *
   * @param perSecond the limit
   */
  int sharers(double perSecond) {
    return (int) Math.min(memberHashes.length, BASE_SHARERS + perSecond);
  }

  /**
   * Returns the requests a second that this instance may send to a replica.
   *
   * @param replica the replica
   * @param perSecond its limit
   * @return the share of this instance, 0 if it has none
   */
  double shareOf(ReplicaId replica, double perSecond) {
    int sharers = sharers(perSecond);
    long replicaHash = RendezvousHash.hash(replica.value());
    long ownWeight = RendezvousHash.weight(instanceHash, replicaHash);
    int before = 0;
    for (long memberHash : memberHashes) {
      if (RendezvousHash.weight(memberHash, replicaHash) > ownWeight) {
        before++;
      }
    }
    return before < sharers ? perSecond / sharers : 0;
  }

  /**
   * Returns the number of the current turn if it belongs to this instance.
   *
   * @return the number, -1 if it is another instance's turn
   */
  long ownTurn() {
    long turn = Math.floorDiv(timeOfDayMillis.getAsLong(), TURN_MILLIS);
    return Math.floorMod(turn, (long) memberHashes.length) == ownRank ? turn : -1;
  }
}
