package io.snipeloom.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last entries of replicas that have left, by which an older entry of them is known if the
 * registry comes back from an older copy of itself. Not thread-safe.
 */
final class DepartedEntries {
  /** The most replicas that are remembered; many times those that leave while a copy ages. */
  private static final int MAX_ENTRIES = 1_000;

  private final Map<ReplicaId, Departed> entries = new LinkedHashMap<>();

  /** A last entry, and whether the registry has come back from a copy since. */
  private record Departed(Replica replica, boolean reverted) {}

  /** Records that a replica has left, and forgets the one that left first if there are too many. */
  void add(Replica replica) {
    entries.remove(replica.id());
    entries.put(replica.id(), new Departed(replica, false));
    if (entries.size() > MAX_ENTRIES) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  /** Records that a replica has registered, also one that had left. */
  void remove(ReplicaId id) {
    entries.remove(id);
  }

  /** Records that the registry came back from an older copy of itself. */
  void onReverted() {
    entries.replaceAll((id, departed) -> new Departed(departed.replica(), true));
  }

  /**
   * Returns whether an entry is one that a replica wrote before it left. One that it has written
   * since has a higher sequence number.
   */
  boolean isOutdated(Replica listed) {
    Departed departed = entries.get(listed.id());
    return departed != null
        && departed.reverted()
        && departed.replica().isSameIncarnation(listed)
        && listed.sequence() <= departed.replica().sequence();
  }
}
