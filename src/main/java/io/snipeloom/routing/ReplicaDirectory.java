package io.snipeloom.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The replicas that registered themselves, and which of them take work.
 *
 * <p>An entry that disappears while the registry is disturbed may only have lapsed, so its replica
 * stays in use until the registry has been back for {@link #LAPSE_GRACE_NANOS}. Not thread-safe.
 */
public final class ReplicaDirectory {
  /** The time in which a live replica registers itself again after an outage. */
  public static final long LAPSE_GRACE_NANOS = 2_200_000_000L;

  private final Map<ReplicaId, Replica> replicas = new HashMap<>();
  private final Map<ReplicaId, Long> missingSince = new HashMap<>();
  private boolean disturbed;
  private long calmSinceNanos = Long.MIN_VALUE / 2;

  /**
   * Takes a new state of an entry.
   *
   * @param replica the replica
   * @return the entry before, or null
   */
  public Replica put(Replica replica) {
    missingSince.remove(replica.id());
    return replicas.put(replica.id(), replica);
  }

  /**
   * Takes note that an entry disappeared.
   *
   * @param id the replica
   * @param nowNanos the time
   * @return true if the replica is out of use at once
   */
  public boolean remove(ReplicaId id, long nowNanos) {
    if (!replicas.containsKey(id)) {
      return false;
    }
    if (isLapsePossible(nowNanos)) {
      missingSince.putIfAbsent(id, nowNanos);
      return false;
    }
    replicas.remove(id);
    missingSince.remove(id);
    return true;
  }

  /**
   * Takes a complete listing; replicas that it does not name have disappeared.
   *
   * @param listed the replicas of the listing
   * @param nowNanos the time
   */
  public void replaceAll(Collection<Replica> listed, long nowNanos) {
    Set<ReplicaId> gone = new java.util.HashSet<>(replicas.keySet());
    for (Replica replica : listed) {
      gone.remove(replica.id());
      put(replica);
    }
    gone.forEach(id -> remove(id, nowNanos));
  }

  /** Takes note that the registry does not answer. */
  public void onRegistryLost() {
    disturbed = true;
  }

  /**
   * Takes note that the registry answers.
   *
   * @param nowNanos the time
   */
  public void onRegistryAnswered(long nowNanos) {
    if (disturbed) {
      disturbed = false;
      calmSinceNanos = nowNanos;
    }
  }

  /**
   * Drops replicas whose entries have not come back in time.
   *
   * @param nowNanos the time
   * @return the replicas that were dropped
   */
  public List<Replica> removeMissing(long nowNanos) {
    List<Replica> dropped = new ArrayList<>();
    if (isLapsePossible(nowNanos)) {
      return dropped;
    }
    Iterator<ReplicaId> ids = missingSince.keySet().iterator();
    while (ids.hasNext()) {
      ReplicaId id = ids.next();
      dropped.add(replicas.remove(id));
      ids.remove();
    }
    return dropped;
  }

  /**
   * Returns the replicas of a service that take work.
   *
   * @param service the name of the service
   * @return the replicas
   */
  public List<Replica> workersOf(String service) {
    List<Replica> workers = new ArrayList<>();
    for (Replica replica : replicas.values()) {
      if (replica.service().equals(service) && replica.state().takesWork()) {
        workers.add(replica);
      }
    }
    return workers;
  }

  /**
   * Returns whether a replica may get new work now.
   *
   * @param replica the replica as it was chosen
   * @return false if it left, drains or was restarted
   */
  public boolean isWorking(Replica replica) {
    Replica current = replicas.get(replica.id());
    return current != null && current.isSameIncarnation(replica) && current.state().takesWork();
  }

  /**
   * Returns the number of known replicas.
   *
   * @return the number
   */
  public int size() {
    return replicas.size();
  }

  private boolean isLapsePossible(long nowNanos) {
    return disturbed || nowNanos - calmSinceNanos < LAPSE_GRACE_NANOS;
  }
}
