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
 * are the origins that the others declared. Immutable.
 */
final class RemainingOrigins {
  private final Set<StreamOrigin> origins;

  private RemainingOrigins(Set<StreamOrigin> origins) {
    this.origins = origins;
  }

  /**
   * Finds the origins that are left. There are none if an incarnation that is not excluded declared
   * anything before the store came back from an older copy: later declarations of it may be lost.
   *
   * @param declared all declarations, listed after the caller came
   * @param possible the origins at which streams that callers resume now can have begun
   * @param excluded the incarnations that have not begun the stream
   * @param era the era of the store
   */
  static RemainingOrigins of(
      List<DeclaredOrigin> declared,
      Collection<StreamOrigin> possible,
      Collection<String> excluded,
      long era) {
    Set<StreamOrigin> left = new HashSet<>();
    for (DeclaredOrigin one : declared) {
      if (one.isDeclaredByOneOf(excluded)) {
        continue;
      }
      if (one.mayBeOneOfSeveral(era)) {
        return new RemainingOrigins(Set.of());
      }
      if (possible.contains(one.origin())) {
        left.add(one.origin());
      }
    }
    return new RemainingOrigins(left);
  }

  /** Returns the origin, empty if several are left, or none. */
  Optional<StreamOrigin> only() {
    return origins.size() == 1 ? origins.stream().findFirst() : Optional.empty();
  }
}
