package io.snipeloom.forwarding;

import io.snipeloom.routing.Replica;
import io.snipeloom.routing.ReplicaId;
import io.snipeloom.routing.ReplicaView;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Replicas whose entries have gone, and which had said that they want fewer requests or none. The
 * entry of a live replica may come back, and what it said still holds then.
 *
 * <p>Not thread-safe.
 */
final class DepartedReplicas {
  /** The most replicas that are kept; the one that left first makes room. */
  private static final int MAX_REPLICAS = 1_000;

  private final Map<ReplicaId, ReplicaView> views = new LinkedHashMap<>();

  /** Adds a replica whose entry has gone. */
  void add(ReplicaView view) {
    ReplicaId id = view.replica().id();
    views.remove(id);
    views.put(id, view);
    Iterator<ReplicaId> eldest = views.keySet().iterator();
    while (views.size() > MAX_REPLICAS) {
      eldest.next();
      eldest.remove();
    }
  }

  /** Removes a replica whose entry is back, and returns what was known of this incarnation. */
  Optional<ReplicaView> take(Replica replica) {
    return Optional.ofNullable(views.remove(replica.id()))
        .filter(view -> view.replica().isSameIncarnation(replica));
  }
}
