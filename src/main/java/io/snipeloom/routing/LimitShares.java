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
 * holds. Of a bound that has to hold in sum whatever the instances know of each other, only those
 * get whole shares that a {@link ShareRoster} entitles. Not thread-safe.
 */
public final class LimitShares {
  /** The number of instances that share a limit, apart from one for each request a second. */
  private static final int BASE_SHARERS = 2;

  /** The requests a second for each of those that share a bound that holds strictly. */
  private static final int REQUESTS_PER_SHARER = 2;

  /** The length of a turn; longer than the window in which the requests of a replica count. */
  private static final long TURN_MILLIS = 5_000;

  private final String instance;
  private final LongSupplier timeOfDayMillis;
  private final long instanceHash;
  private final ShareRoster roster;
  private long[] rosterHashes = {};
  private long[] memberHashes;
  private int ownRank;

  /**
   * Creates shares of an instance that does not know any other yet, and has no share of bounds that
   * hold strictly.
   *
   * @param instance the name of the instance
   * @param timeOfDayMillis the time of day, in Unix milliseconds
   */
  public LimitShares(String instance, LongSupplier timeOfDayMillis) {
    this(instance, timeOfDayMillis, new ShareRoster());
  }

  /**
   * Creates shares of an instance that does not know any other yet.
   *
   * @param instance the name of the instance
   * @param timeOfDayMillis the time of day, in Unix milliseconds
   * @param roster the instances among which bounds that hold strictly are divided
   */
  public LimitShares(String instance, LongSupplier timeOfDayMillis, ShareRoster roster) {
    this.instance = instance;
    this.roster = roster;
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

  /** Reads the roster again, which has been listed. */
  public void refreshRoster() {
    rosterHashes = roster.members().stream().mapToLong(RendezvousHash::hash).toArray();
  }

  /**
   * Returns the whole number of requests of which this instance may send to a replica, out of those
   * that all instances together may send in any second.
   *
   * <p>However differently the instances know each other, the sum is at most the total: all that
   * are entitled are in the roster of each, so of those that count themselves among the first of a
   * roster of the same or a larger size there are never more than the first of all entitled ones.
   *
   * @param replica the replica
   * @param total the requests of all instances
   * @param nowNanos the current time
   * @return the number, 0 if this instance has no share or is not entitled to any
   */
  int wholeShareOf(ReplicaId replica, int total, long nowNanos) {
    if (total < 1 || rosterHashes.length == 0 || !roster.isEntitled(nowNanos)) {
      return 0;
    }
    int sharers = Math.min(rosterHashes.length, Math.max(1, total / REQUESTS_PER_SHARER));
    return ranksBelow(sharers, replica, rosterHashes) ? total / sharers : 0;
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
    return ranksBelow(sharers, replica, memberHashes) ? perSecond / sharers : 0;
  }

  /** Returns whether fewer members than a number come before this instance for a replica. */
  private boolean ranksBelow(int number, ReplicaId replica, long[] hashes) {
    long replicaHash = RendezvousHash.hash(replica.value());
    long ownWeight = RendezvousHash.weight(instanceHash, replicaHash);
    int before = 0;
    for (long memberHash : hashes) {
      if (RendezvousHash.weight(memberHash, replicaHash) > ownWeight) {
        before++;
      }
    }
    return before < number;
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
