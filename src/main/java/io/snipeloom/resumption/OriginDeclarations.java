package io.snipeloom.resumption;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The origins at which this instance may begin streams, since the store holds a declaration of
 * them. An origin is declared anew if it was not seen for some time, in which other instances may
 * have ceased to count it. Not thread-safe.
 */
final class OriginDeclarations {
  /** How long a declaration holds after its origin was last seen; the history counts it longer. */
  static final long VALIDITY_NANOS = VersionHistory.RETENTION_NANOS / 2;

  private final Map<StreamOrigin, Long> seenNanos = new HashMap<>();
  private final Set<StreamOrigin> declared = new HashSet<>();
  private final Set<StreamOrigin> due = new LinkedHashSet<>();

  /** Records that streams could begin at an origin. */
  void observe(StreamOrigin origin, long nowNanos) {
    if (!isValid(origin, nowNanos)) {
      declared.remove(origin);
      due.add(origin);
    }
    seenNanos.put(origin, nowNanos);
  }

  /** Returns whether streams may begin at an origin now. */
  boolean contains(StreamOrigin origin, long nowNanos) {
    return declared.contains(origin) && isValid(origin, nowNanos);
  }

  private boolean isValid(StreamOrigin origin, long nowNanos) {
    Long seen = seenNanos.get(origin);
    return seen != null && nowNanos - seen <= VALIDITY_NANOS;
  }

  /** Returns whether streams may ever have begun at several origins. */
  boolean hasSeveral(Set<StreamOrigin> declaredByOthers) {
    Set<StreamOrigin> known = new HashSet<>(declaredByOthers);
    known.addAll(seenNanos.keySet());
    return known.size() > 1;
  }

  /** Returns the origin that was due first, empty if none has to be declared. */
  Optional<StreamOrigin> nextDue() {
    return due.stream().findFirst();
  }

  /** Returns the number of origins that have yet to be declared. */
  int dueCount() {
    return due.size();
  }

  /** Records that the store holds a declaration of an origin. */
  void onDeclared(StreamOrigin origin) {
    due.remove(origin);
    declared.add(origin);
  }

  /** Makes all origins due that were seen recently, because the store may have lost them. */
  void redeclareAll(long nowNanos) {
    seenNanos.forEach(
        (origin, seen) -> {
          if (nowNanos - seen <= VersionHistory.RETENTION_NANOS) {
            due.add(origin);
          }
        });
  }
}
