package io.snipeloom.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The registered replicas, and which of them accept requests.
 *
 * <p>An entry that disappears while the registry is unavailable may have expired although its
 * replica is alive. Such a replica therefore stays in use until the registry has been available
 * again for {@link #REREGISTRATION_GRACE_NANOS}. Not thread-safe.
 */
public final class ReplicaDirectory {
  /** The time within which a live replica registers again after a registry outage. */
  public static final long REREGISTRATION_GRACE_NANOS = 2_200_000_000L;

  private final Map<ReplicaId, Replica> replicas = new HashMap<>();
  private final Map<ReplicaId, Long> missingSince = new HashMap<>();
  private boolean registryUnavailable;
  private long registryAvailableSinceNanos = Long.MIN_VALUE / 2;

  /**
   * Adds or updates an entry. A replica that drains never accepts requests again, so that an older
   * entry of it, such as one from a stale listing, changes nothing.
   *
   * @param replica the entry
   * @return the previous entry, or null
   */
  public Replica put(Replica replica) {
    missingSince.remove(replica.id());
    Replica previous = replicas.get(replica.id());
    boolean outdated =
        previous != null
            && previous.isSameIncarnation(replica)
            && !previous.state().acceptsRequests();
    if (!outdated) {
      replicas.put(replica.id(), replica);
    }
    return previous;
  }

  /**
   * Records that an entry disappeared.
   *
   * @param id the replica
   * @param nowNanos the current time
   * @return true if the replica was removed; false if it is unknown or may still register again
   */
  public boolean remove(ReplicaId id, long nowNanos) {
    if (!replicas.containsKey(id)) {
      return false;
    }
    if (isWithinGracePeriod(nowNanos)) {
      missingSince.putIfAbsent(id, nowNanos);
      return false;
    }
    replicas.remove(id);
    missingSince.remove(id);
    return true;
  }

  /**
   * Applies a complete listing of the registry; the replicas missing from it have disappeared.
   *
   * @param listed the entries of the listing
   * @param nowNanos the current time
   */
  public void replaceAll(Collection<Replica> listed, long nowNanos) {
    Set<ReplicaId> unlisted = new java.util.HashSet<>(replicas.keySet());
    for (Replica replica : listed) {
      unlisted.remove(replica.id());
      put(replica);
    }
    unlisted.forEach(id -> remove(id, nowNanos));
  }

  /** Records that the registry is unavailable. */
  public void onRegistryUnavailable() {
    registryUnavailable = true;
  }

  /**
   * Records that the registry is available.
   *
   * @param nowNanos the current time
   */
  public void onRegistryAvailable(long nowNanos) {
    if (registryUnavailable) {
      registryUnavailable = false;
      registryAvailableSinceNanos = nowNanos;
    }
  }

  /**
   * Records that the registry came back from an older copy of itself, which may lack entries until
   * their replicas register again.
   *
   * @param nowNanos the current time
   */
  public void onRegistryReverted(long nowNanos) {
    registryAvailableSinceNanos = nowNanos;
  }

  /**
   * Removes the replicas that disappeared and did not register again within the grace period.
   *
   * @param nowNanos the current time
   * @return the replicas that were removed
   */
  public List<Replica> removeMissing(long nowNanos) {
    List<Replica> removed = new ArrayList<>();
    if (isWithinGracePeriod(nowNanos)) {
      return removed;
    }
    Iterator<ReplicaId> ids = missingSince.keySet().iterator();
    while (ids.hasNext()) {
      ReplicaId id = ids.next();
      removed.add(replicas.remove(id));
      ids.remove();
    }
    return removed;
  }

  /**
   * Returns the replicas of a service that accept requests.
   *
   * @param service the name of the service
   */
  public List<Replica> availableReplicas(String service) {
    List<Replica> available = new ArrayList<>();
    for (Replica replica : replicas.values()) {
      if (replica.service().equals(service) && replica.state().acceptsRequests()) {
        available.add(replica);
      }
    }
    return available;
  }

  /**
   * Returns whether a replica accepts requests.
   *
   * @param replica the replica as it was when it was chosen
   * @return false if it left, is draining or was restarted since
   */
  public boolean isAvailable(Replica replica) {
    Replica current = replicas.get(replica.id());
    return current != null
        && current.isSameIncarnation(replica)
        && current.state().acceptsRequests();
  }

  /** Returns all known replicas, whatever their state. */
  public Collection<Replica> replicas() {
    return Collections.unmodifiableCollection(replicas.values());
  }

  /** Returns the number of known replicas. */
  public int size() {
    return replicas.size();
  }

  private boolean isWithinGracePeriod(long nowNanos) {
    return registryUnavailable
        || nowNanos - registryAvailableSinceNanos < REREGISTRATION_GRACE_NANOS;
  }
}
