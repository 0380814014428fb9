package io.snipeloom.resumption;

import io.snipeloom.routing.Replica;
import io.snipeloom.routing.SoftwareVersion;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The software versions that each service had recently. A stream of a version may outlive its last
 * replica. Not thread-safe.
 */
final class VersionHistory {
  /** How long a version counts after its last replica was seen; longer than callers retry. */
  private static final long RETENTION_NANOS = 60_000_000_000L;

  private final Map<String, Map<SoftwareVersion, Long>> lastSeenNanos = new HashMap<>();

  /** Records the versions of all registered replicas. */
  void observe(Collection<Replica> replicas, long nowNanos) {
    replicas.forEach(replica -> observe(StreamOrigin.of(replica), nowNanos));
  }

  /** Records that a service had a version at some time. */
  void observe(StreamOrigin origin, long seenNanos) {
    lastSeenNanos
        .computeIfAbsent(origin.service(), name -> new HashMap<>())
        .merge(origin.version(), seenNanos, Math::max);
  }

  /** Returns the services whose streams may be of several versions. */
  Set<String> servicesWithSeveral(long nowNanos) {
    return lastSeenNanos.keySet().stream()
        .filter(service -> recent(service, nowNanos).size() > 1)
        .collect(Collectors.toSet());
  }

  /** Returns the only origin that streams of the service can have; empty if there are several. */
  Optional<StreamOrigin> onlyOrigin(String service, long nowNanos) {
    List<SoftwareVersion> versions = recent(service, nowNanos);
    return versions.size() == 1
        ? Optional.of(new StreamOrigin(service, versions.get(0)))
        : Optional.empty();
  }

  private List<SoftwareVersion> recent(String service, long nowNanos) {
    Map<SoftwareVersion, Long> versions = lastSeenNanos.getOrDefault(service, Map.of());
    return versions.entrySet().stream()
        .filter(entry -> nowNanos - entry.getValue() <= RETENTION_NANOS)
        .map(Map.Entry::getKey)
        .toList();
  }
}
