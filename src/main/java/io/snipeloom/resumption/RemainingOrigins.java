package io.snipeloom.resumption;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The origins at which a stream can have begun that no instance knows and nobody has recorded.
 *
 * <p>Each incarnation of an instance declares an origin before it begins streams there. One that
 * answers, after the caller came, that it does not know the stream has not begun it. What is left
 * are the origins that the others declared. The store may have lost further declarations of an
 * incarnation that has declared nothing since it came back from an older copy; then nothing can be
 * told. Immutable.
 */
final class RemainingOrigins {
  private final Set<StreamOrigin> origins;

  private RemainingOrigins(Set<StreamOrigin> origins) {
    this.origins = origins;
  }

  /**
   * Finds the origins that are left.
   *
   * @param declared all declarations, listed after the caller came
   * @param possible the origins at which streams that callers resume now can have begun
   * @param excluded the incarnations that have not begun the stream
   * @param era the present era of the store
   */
  static RemainingOrigins of(
      List<DeclaredOrigin> declared,
      Collection<StreamOrigin> possible,
      Collection<String> excluded,
      long era) {
    Set<StreamOrigin> left = new HashSet<>();
    Set<String> incomplete = new HashSet<>();
    for (DeclaredOrigin one : declared) {
      if (possible.contains(one.origin()) && !one.isDeclaredByOneOf(excluded)) {
        left.add(one.origin());
        incomplete.add(one.incarnation());
      }
    }
    declared.stream()
        .filter(one -> one.era() == era)
        .forEach(one -> incomplete.remove(one.incarnation()));
    return new RemainingOrigins(incomplete.isEmpty() ? left : Set.of());
  }

  /** Returns the origin, empty if several are left, or none. */
  Optional<StreamOrigin> only() {
    return origins.size() == 1 ? origins.stream().findFirst() : Optional.empty();
  }
}
