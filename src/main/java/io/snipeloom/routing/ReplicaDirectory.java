package io.snipeloom.routing;

import io.snipeloom.routing.RemovedEntry.Removal;
import io.snipeloom.state.Moment;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The registered replicas, and which of them accept requests.
 *
 * <p>An entry that disappears after the registry was unavailable may have lapsed although its
 * replica is alive. Such a replica stays in use until the registry has been available again for
 * long enough, unless its last heartbeat is known to be so recent that the entry cannot have
 * lapsed: then the replica has left. Not thread-safe.
 */
public final class ReplicaDirectory {
  private final LeaseTerms terms;
  private final RegistryAbsence absence;
  private final Map<ReplicaId, Replica> replicas = new HashMap<>();
  private final Map<ReplicaId, Moment> renewedAfter = new HashMap<>();
  private final Set<ReplicaId> missing = new HashSet<>();
  private final DepartedEntries departed = new DepartedEntries();

  /**
   * Creates an empty directory.
   *
   * @param terms how long entries hold
   */
  public ReplicaDirectory(LeaseTerms terms) {
    this.terms = terms;
    this.absence = new RegistryAbsence(terms);
  }

  /**
   * Adds or updates an entry. A replica that drains never accepts requests again, so that an older
   * entry of it, such as one from a stale listing, changes nothing.
   *
   * @param replica the entry
   * @return the previous entry, or null
   */
  public Replica put(Replica replica) {
    missing.remove(replica.id());
    departed.remove(replica.id());
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
   * Records a heartbeat of a replica, by which its entry is renewed.
   *
   * @param id the replica
   * @param sentAfter a moment after which the heartbeat was sent
   */
  public void renew(ReplicaId id, Moment sentAfter) {
    renewedAfter.put(id, sentAfter);
  }

  /**
   * Records that an entry disappeared.
   *
   * @param id the replica
   * @param now the current moment
   */
  public RemovedEntry remove(ReplicaId id, Moment now) {
    OptionalLong heartbeatAge = heartbeatAgeMillis(id, now);
    if (!replicas.containsKey(id)) {
      return new RemovedEntry(id, Removal.UNKNOWN, heartbeatAge);
    }
    if (absence.isRecent(now) && mayHaveLapsed(id, now)) {
      missing.add(id);
      return new RemovedEntry(id, Removal.MAY_HAVE_LAPSED, heartbeatAge);
    }
    forget(id);
    return new RemovedEntry(id, Removal.LEFT, heartbeatAge);
  }

  private OptionalLong heartbeatAgeMillis(ReplicaId id, Moment now) {
    Moment renewed = renewedAfter.get(id);
    return renewed == null
        ? OptionalLong.empty()
        : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(now.maxElapsedNanosSince(renewed)));
  }

  private boolean mayHaveLapsed(ReplicaId id, Moment now) {
    return renewedAfter(id).map(renewed -> terms.mayHaveLapsed(renewed, now)).orElse(true);
  }

  /**
   * Returns a moment after which an entry was renewed last, empty if none is known. An entry that
   * held for longer than its heartbeats allow has some that are not shown, because they change
   * nothing else; like one that was only listed, it is taken for alive before the absence.
   */
  private Optional<Moment> renewedAfter(ReplicaId id) {
    Optional<Moment> known = Optional.ofNullable(renewedAfter.get(id));
    Optional<Moment> before = absence.availableBefore();
    boolean shown =
        known.isPresent()
            && before.filter(moment -> terms.mayHaveLapsed(known.get(), moment)).isEmpty();
    return shown ? known : before.map(terms::renewedAfter);
  }

  private Replica forget(ReplicaId id) {
    missing.remove(id);
    renewedAfter.remove(id);
    Replica left = replicas.remove(id);
    departed.add(left);
    return left;
  }

  /**
   * Returns whether an entry of a listing is one of before its replica left, which a registry that
   * came back from an older copy shows again. Such an entry must not be added.
   *
   * @param listed the entry
   */
  public boolean isOutdated(Replica listed) {
    return departed.isOutdated(listed);
  }

  /**
   * Applies a complete listing of the registry; the replicas missing from it have disappeared.
   *
   * @param listed the entries of the listing
   * @param now the current moment
   * @return what became of the replicas that disappeared
   */
  public List<RemovedEntry> replaceAll(Collection<Replica> listed, Moment now) {
    Set<ReplicaId> unlisted = new HashSet<>(replicas.keySet());
    for (Replica replica : listed) {
      unlisted.remove(replica.id());
      put(replica);
    }
    return unlisted.stream().map(id -> remove(id, now)).toList();
  }

  /** Records a call that the registry refused or has not answered in time. */
  public void onRegistryUnanswered() {
    absence.onNoAnswer();
  }

  /**
   * Records an answer of the registry.
   *
   * @param availableAt a moment at which the registry was available, as the answer shows
   * @param now the current moment
   */
  public void onRegistryAnswer(Moment availableAt, Moment now) {
    absence.onAnswer(availableAt, now);
  }

  /**
   * Records that the registry came back from an older copy of itself, which may lack entries until
   * their replicas register again, and heartbeats that were read before.
   *
   * @param now the current moment
   */
  public void onRegistryReverted(Moment now) {
    renewedAfter.clear();
    departed.onReverted();
    absence.onEntriesLost(now);
  }

  /**
   * Removes the replicas that disappeared and have had the time to register again.
   *
   * @param now the current moment
   * @return the replicas that were removed
   */
  public List<Replica> removeMissing(Moment now) {
    List<Replica> removed = new ArrayList<>();
    if (!absence.isRecent(now)) {
      List.copyOf(missing).forEach(id -> removed.add(forget(id)));
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
}
