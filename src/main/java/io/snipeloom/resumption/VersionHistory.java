package io.snipeloom.resumption;

import io.snipeloom.routing.Replica;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What may have begun the streams that callers resume: the declared origins, and the services to
 * which routes of such streams led recently with their recent software versions. A stream may
 * outlive its route and the last replica of its version. Not thread-safe.
 */
final class VersionHistory {
  /** How long a version or a route counts after it was last seen; longer than callers retry. */
  static final long RETENTION_NANOS = 60_000_000_000L;

  private final Map<String, String> declarations = new HashMap<>();
  private final Set<StreamOrigin> declaredOrigins = new HashSet<>();
  private final Map<StreamOrigin, Long> versionSeenNanos = new HashMap<>();
  private final Map<String, Long> routeSeenNanos = new HashMap<>();

  /** Records the versions of all registered replicas. */
  void observeReplicas(Collection<Replica> replicas, long nowNanos) {
    replicas.forEach(replica -> observeVersion(StreamOrigin.of(replica), nowNanos));
  }

  /** Records that a service had a version at some time. */
  void observeVersion(StreamOrigin origin, long seenNanos) {
    versionSeenNanos.merge(origin, seenNanos, Math::max);
  }

  /** Records that a route of streams led to a service at some time. */
  void observeRoute(String service, long seenNanos) {
    routeSeenNanos.merge(service, seenNanos, Math::max);
  }

  /** Records all declarations; the origin of one that is new counts as just seen. */
  void observeDeclared(List<DeclaredOrigin> declared, long nowNanos) {
    for (DeclaredOrigin one : declared) {
      String previous = declarations.put(one.text(), one.declaration());
      declaredOrigins.add(one.origin());
      if (!one.declaration().equals(previous)) {
        observeVersion(one.origin(), nowNanos);
        observeRoute(one.origin().service(), nowNanos);
      }
    }
  }

  /** Returns the origins that were ever declared, as far as this instance has listed them. */
  Set<StreamOrigin> declared() {
    return Collections.unmodifiableSet(declaredOrigins);
  }

  /** Returns what may have begun a stream that a caller resumes now. */
  List<StreamOrigin> possibleOrigins(long nowNanos) {
    return versionSeenNanos.entrySet().stream()
        .filter(entry -> isRecent(entry.getValue(), nowNanos))
        .map(Map.Entry::getKey)
        .filter(origin -> wasRouted(origin.service(), nowNanos))
        .toList();
  }

  /** Forgets what no longer counts. */
  void expire(long nowNanos) {
    versionSeenNanos.values().removeIf(seen -> !isRecent(seen, nowNanos));
    routeSeenNanos.values().removeIf(seen -> !isRecent(seen, nowNanos));
  }

  private boolean wasRouted(String service, long nowNanos) {
    Long seen = routeSeenNanos.get(service);
    return seen != null && isRecent(seen, nowNanos);
  }

  private static boolean isRecent(long seenNanos, long nowNanos) {
    return nowNanos - seenNanos <= RETENTION_NANOS;
  }
}
