package io.snipeloom.crashes;

import java.util.Optional;

/**
 * Whether a request may be sent to a replica, as far as crashes are concerned. Immutable.
 *
 * @param trial whether it is refused otherwise, and may be sent once to find out whether it crashes
 *     replicas after all
 * @param conviction why it is refused, empty if it is not
 */
public record Admission(boolean trial, Optional<Conviction> conviction) {
  /** A request that may be sent. */
  static final Admission ADMITTED = new Admission(false, Optional.empty());

  /** A request that may be sent once. */
  static final Admission TRIAL = new Admission(true, Optional.empty());

  /** Returns that a request is refused. */
  static Admission refused(Conviction conviction) {
    return new Admission(false, Optional.of(conviction));
  }
}
