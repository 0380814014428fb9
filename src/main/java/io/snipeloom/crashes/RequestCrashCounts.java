package io.snipeloom.crashes;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Counts for each request the replicas that ended while it was in flight there.
 *
 * <p>A replica counts once, whatever ended it. It no longer counts once a replica of its service
 * has run the request to a good end that was sent there later. A replica whose connection broke
 * counts until it is found alive if it would be the last one that may end; else connections that
 * break at several replicas at a time would refuse a sound request.
 *
 * <p>Not thread-safe.
 */
final class RequestCrashCounts {
  /** The number of replicas that may end under a request before it is refused. */
  static final int MAX_CRASHES = 3;

  /** The most requests that are kept; the one whose last replica ended first makes room. */
  private static final int MAX_REQUESTS = 8_192;

  private final Map<RequestTrait, Map<String, Crash>> crashes = new LinkedHashMap<>();

  private record Crash(String service, long atNanos, boolean certain) {}

  /**
   * Counts a replica.
   *
   * @param replica the incarnation of the replica
   * @param atNanos when it ended
   * @param certain whether it ended, false if its connection broke and it may be alive
   * @return true if it was not known for certain yet that the replica ended under this request
   */
  boolean add(RequestTrait request, String service, String replica, long atNanos, boolean certain) {
    Map<String, Crash> ofRequest = crashes.remove(request);
    if (ofRequest == null) {
      ofRequest = new HashMap<>();
    }
    crashes.put(request, ofRequest);
    Crash known = ofRequest.get(replica);
    if (known == null || (certain && !known.certain())) {
      ofRequest.put(replica, new Crash(service, atNanos, certain));
    }
    Iterator<RequestTrait> eldest = crashes.keySet().iterator();
    while (crashes.size() > MAX_REQUESTS) {
      eldest.next();
      eldest.remove();
    }
    return certain && (known == null || !known.certain());
  }

  /** Removes a replica that is alive although its connection broke. */
  void onAlive(RequestTrait request, String replica) {
    Map<String, Crash> ofRequest = crashes.get(request);
    if (ofRequest != null && ofRequest.containsKey(replica) && !ofRequest.get(replica).certain()) {
      ofRequest.remove(replica);
      removeIfEmpty(request, ofRequest);
    }
  }

  /**
   * Records that a replica ran the request to a good end.
   *
   * @param sentNanos when the request was sent to it
   * @return true if replicas were counted that no longer count
   */
  boolean onCompleted(RequestTrait request, String service, long sentNanos) {
    Map<String, Crash> ofRequest = crashes.get(request);
    if (ofRequest == null) {
      return false;
    }
    boolean removed =
        ofRequest
            .values()
            .removeIf(crash -> crash.service().equals(service) && sentNanos - crash.atNanos() >= 0);
    removeIfEmpty(request, ofRequest);
    return removed;
  }

  private void removeIfEmpty(RequestTrait request, Map<String, Crash> ofRequest) {
    if (ofRequest.isEmpty()) {
      crashes.remove(request);
    }
  }

  /**
   * Returns the requests under which more replicas ended than may, of each of these replicas. Such
   * a request has ended a replica that it was tried at.
   *
   * @return the identifiers of the requests, by the incarnations of the replicas
   */
  Map<String, Set<String>> crashingByReplica() {
    Map<String, Set<String>> crashing = new HashMap<>();
    crashes.forEach(
        (request, ofRequest) -> {
          if (certainCount(request) > MAX_CRASHES) {
            for (String replica : ofRequest.keySet()) {
              crashing.computeIfAbsent(replica, key -> new HashSet<>()).add(request.value());
            }
          }
        });
    return crashing;
  }

  /** Forgets the crashes of a request. */
  void clear(RequestTrait request) {
    crashes.remove(request);
  }

  /** Returns how many replicas count as ended under a request. */
  int count(RequestTrait request) {
    int certain = certainCount(request);
    boolean isNextLast = certain == MAX_CRASHES - 1;
    return isNextLast && crashes.get(request).size() > certain ? MAX_CRASHES : certain;
  }

  /** Returns when the last replica ended under a request, empty if none is known. */
  OptionalLong lastCrashNanos(RequestTrait request) {
    return crashes.getOrDefault(request, Map.of()).values().stream()
        .mapToLong(Crash::atNanos)
        .max();
  }

  /** Returns how many replicas ended under a request for certain. */
  int certainCount(RequestTrait request) {
    Collection<Crash> ofRequest = crashes.getOrDefault(request, Map.of()).values();
    return (int) ofRequest.stream().filter(Crash::certain).count();
  }
}
